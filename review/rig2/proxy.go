package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy carries connections to a target. While it is cut, it holds all bytes; they arrive
// once it is whole again. Bytes that one end has sent before it closed the connection
// arrive too, unless that end has reset it.
type proxy struct {
	address string
	target  func() string

	mu   sync.Mutex
	cut  bool
	heal chan struct{}
}

func newProxy(host string, target func() string) (*proxy, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &proxy{address: listener.Addr().String(), target: target, heal: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(conn)
		}
	}()
	return p, nil
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// setCut cuts the path, or makes it whole.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut && !cut {
		close(p.heal)
		p.heal = make(chan struct{})
	}
	p.cut = cut
}

// pass waits until the path is whole.
func (p *proxy) pass() {
	for {
		p.mu.Lock()
		cut, heal := p.cut, p.heal
		p.mu.Unlock()
		if !cut {
			return
		}
		<-heal
	}
}

func (p *proxy) carry(client net.Conn) {
	if p.isCut() {
		// No connection can be opened through a cut. Nothing of this one arrives.
		p.pass()
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.target(), time.Second)
	if err != nil {
		reset(client)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client) })
	both.Go(func() { p.copy(client, server) })
	both.Wait()
	_ = client.Close()
	_ = server.Close()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// copy carries bytes one way, and then the end of the connection. Held bytes of an end
// that has reset the connection meanwhile are lost.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		held := p.isCut()
		p.pass()
		if held && wasReset(from) || errors.Is(err, syscall.ECONNRESET) {
			reset(to)
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// wasReset reports whether the peer has reset a connection.
func wasReset(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	broken := false
	_ = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		broken = errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	})
	return broken
}
