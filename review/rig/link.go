package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a path from an executor to one node. While it is cut, what is on its way on an
// open connection is held up and arrives afterwards, and a new connection is not
// accepted.
type link struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// passing is closed while the link is not cut.
	passing chan struct{}
	cut     bool
}

func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, passing: make(chan struct{})}
	close(l.passing)
	go l.run()
	return l, nil
}

// setCut cuts the link or restores it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == cut {
		return
	}
	l.cut = cut
	if cut {
		l.passing = make(chan struct{})
		return
	}
	close(l.passing)
}

func (l *link) state() (passing chan struct{}, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passing, l.cut
}

func (l *link) run() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		if _, cut := l.state(); cut {
			// The caller waits for an answer in vain, and nothing of it arrives.
			time.AfterFunc(10*time.Second, func() { _ = from.Close() })
			continue
		}
		to, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		go l.pass(to, from)
		go l.pass(from, to)
	}
}

// pass copies what arrives, and the end of the stream, while the link is not cut.
func (l *link) pass(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		passing, _ := l.state()
		<-passing
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
