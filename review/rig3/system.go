package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	program = "target/cranberryd"
	pool    = "workers"
	teamKey = "key-of-team-a"
)

// process is one process of the system.
type process struct {
	name    string
	role    string
	ip      string
	command *exec.Cmd
}

// system is a small deployment: three instances that coordinate, and gateways.
type system struct {
	record    *record
	folder    string
	processes []*process
	ports     map[string]int
	farm      *farm
	executors []*executor
	// guarantee is what the team is guaranteed, in accelerators.
	guarantee int64
}

// startSystem starts the processes and waits until a gateway is ready.
func startSystem(r *record, gateways int) (*system, error) {
	folder, err := os.MkdirTemp("", "cranberry-review-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	s := &system{record: r, folder: folder, ports: map[string]int{}}
	group := 10 + os.Getpid()%200
	for i := 1; i <= 3; i++ {
		s.processes = append(s.processes, &process{name: fmt.Sprintf("core-%d", i), role: "coordination", ip: fmt.Sprintf("127.1.%d.%d", group, i)})
	}
	for i := 1; i <= gateways; i++ {
		s.processes = append(s.processes, &process{name: fmt.Sprintf("edge-%d", i), role: "gateway", ip: fmt.Sprintf("127.1.%d.%d", group, 20+i)})
	}
	for _, purpose := range []string{"internal", "control", "calls", "ready", "metrics"} {
		if s.ports[purpose], err = s.freePort(); err != nil {
			return s, err
		}
	}
	s.farm = &farm{record: r, pool: pool}
	for _, p := range s.cores() {
		s.farm.control = append(s.farm.control, s.address(p, "control"))
	}
	for _, p := range s.processes {
		if err := s.start(p, true); err != nil {
			return s, err
		}
	}
	return s, s.waitReady()
}

// freePort returns a port that is free on the addresses of all processes.
func (s *system) freePort() (int, error) {
	for range 100 {
		first, err := net.Listen("tcp", s.processes[0].ip+":0")
		if err != nil {
			return 0, fmt.Errorf("no free port: %w", err)
		}
		port := first.Addr().(*net.TCPAddr).Port
		free := true
		for _, p := range s.processes[1:] {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.ip, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		_ = first.Close()
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

func (s *system) address(p *process, purpose string) string {
	return fmt.Sprintf("%s:%d", p.ip, s.ports[purpose])
}

func (s *system) cores() []*process { return s.processes[:3] }

func (s *system) gateway(i int) string { return s.address(s.processes[3+i], "calls") }

// settings returns the settings file of a process, as the template of the deploy file
// gives it.
func (s *system) settings(p *process, bootstrap bool) map[string]any {
	var seeds []string
	for _, core := range s.cores() {
		seeds = append(seeds, s.address(core, "control"))
	}
	listen := map[string]any{"control": s.address(p, "control")}
	memory, descriptors := 280, 4096
	if p.role == "gateway" {
		listen = map[string]any{"calls": s.address(p, "calls"), "ready": s.address(p, "ready")}
		memory, descriptors = 284, 4100
	}
	return map[string]any{
		"instance": p.name, "role": p.role, "data-center": "zone-1", "region": "region-1", "data-centers": []string{"zone-1"},
		"address": s.address(p, "internal"), "seeds": seeds, "listen": listen, "metrics": s.address(p, "metrics"),
		"bootstrap": bootstrap, "data-folder": filepath.Join(s.folder, p.name, "data"), "memory-mib": memory, "descriptors": descriptors,
		"advice": "", "machines": "",
		"bounds": map[string]any{
			"grace": "6s", "max-lease": "6000ms", "duty-lease": "3000ms", "stop-time": "200ms", "gang-wait": "3000ms",
		},
		"control": map[string]any{"tolerated-losses": 1},
	}
}

func (s *system) start(p *process, bootstrap bool) error {
	folder := filepath.Join(s.folder, p.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o755); err != nil {
		return fmt.Errorf("folder of a process: %w", err)
	}
	data, err := json.MarshalIndent(s.settings(p, bootstrap), "", " ")
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	path := filepath.Join(folder, "boot.json")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	output, err := os.OpenFile(filepath.Join(folder, "output.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open the output: %w", err)
	}
	defer output.Close()
	p.command = exec.Command(program, "node", "--settings", path)
	p.command.Stdout, p.command.Stderr = output, output
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	s.record.note("%s is started", p.name)
	return nil
}

// waitReady waits until all gateways are ready.
func (s *system) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	limit := time.Now().Add(15 * time.Second)
	for _, p := range s.processes[3:] {
		for {
			status, _, _ := call(client, http.MethodGet, "http://"+s.address(p, "ready")+wire.Ready, nil, nil)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// configure sends a configuration until it is acknowledged.
func (s *system) configure(queues []map[string]any) error {
	document := map[string]any{
		"version": 1, "queues": queues,
		"pools":  []map[string]any{{"name": pool, "health-path": "/healthz", "max-connections": 64, "protocol": "h1", "tls": false, "guards-capacity": true, "standby": false}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"teams":  []map[string]any{{"name": "team-a", "keys": []string{teamKey}, "priority": 1, "guarantee": amounts{Accelerators: s.guarantee}}},
	}
	client := &http.Client{Timeout: time.Second}
	for i := range 30 {
		address := s.farm.control[i%len(s.farm.control)]
		status, _, err := call(client, http.MethodPut, "http://"+address+wire.Config, nil, document)
		s.record.note("operator: configuration to %s: status %d, error %v", address, status, err)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged")
}

// queue returns a queue of the configuration.
func queue(name string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": "/" + name + "/", "kind": "non_idempotent", "timeout-ms": 3000, "objective-ms": 1000,
		"priority": priority, "worker-pool": pool, "max-attempts": attempts, "stretch": 3.0, "open": false,
	}
}

// addExecutor adds an executor that is down.
func (s *system) addExecutor(id string, count int64, work func(string) time.Duration) (*executor, error) {
	listener, err := net.Listen("tcp", strings.TrimSuffix(s.processes[0].ip, ".1")+".100:0")
	if err != nil {
		return nil, fmt.Errorf("address of an executor: %w", err)
	}
	e := &executor{
		farm: s.farm, id: id, address: listener.Addr().String(), machine: "m-" + id, work: work,
		capacity: amounts{CPU: 64000, Memory: 128000, Accelerators: count * accelerators},
	}
	_ = listener.Close()
	s.executors = append(s.executors, e)
	return e, nil
}

// stop ends all processes and executors.
func (s *system) stop() {
	for _, e := range s.executors {
		e.crash()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, p := range s.processes {
			if p.command != nil && p.command.Process != nil {
				_ = p.command.Process.Signal(syscall.SIGCONT)
				_ = p.command.Process.Kill()
				_ = p.command.Wait()
			}
		}
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
		return
	}
	fmt.Println("kept:", s.folder)
}
