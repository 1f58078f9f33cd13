package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	coreCount   = 4
	gatewayHost = 21
	// standInHost is the last number of the address of all stand-ins.
	standInHost = 41
	// usualMemory is the memory of a core, in MiB.
	usualMemory = 280
	descriptors = 4096
)

// system is the project's own programs: four instances of the coordination role, three of
// which are seeds, and one gateway, each on a loopback address of its own.
type system struct {
	record  *recorder
	folder  string
	program string
	// network is the first three numbers of all addresses.
	network                                                  string
	internalPort, controlPort, callPort, okPort, metricsPort int
	// machines holds the address of the machine manager for each core; it may be empty.
	machines map[string]string
	// mu guards processes and closed.
	mu        sync.Mutex
	processes map[string]*process
	closed    bool
	// memory is what a core may use, in MiB.
	memory int
}

// process is a running program.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

func newSystem(record *recorder) (*system, error) {
	program, err := filepath.Abs(filepath.Join("target", "cranberryd"))
	if err != nil {
		return nil, fmt.Errorf("find program: %w", err)
	}
	if _, err := os.Stat(program); err != nil {
		return nil, errors.New("target/cranberryd is not built")
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	s := &system{
		record: record, folder: folder, program: program, processes: map[string]*process{}, machines: map[string]string{}, memory: usualMemory,
		network: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	for _, port := range []*int{&s.internalPort, &s.controlPort, &s.callPort, &s.okPort, &s.metricsPort} {
		if *port, err = s.freePort(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// freePort returns a port that is free on the address of the stand-ins, and so, as nothing
// else uses the network, on all others.
func (s *system) freePort() (int, error) {
	listener, err := net.Listen("tcp", s.ip(standInHost)+":0")
	if err != nil {
		return 0, fmt.Errorf("find a free port: %w", err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

func (s *system) ip(last int) string { return s.network + fmt.Sprint(last) }

func coreName(i int) string { return fmt.Sprintf("core-z%d-1", i+1) }

// coreHost returns the last number of a core's address.
func coreHost(i int) int { return 11 + i }

func (s *system) control(i int) string { return fmt.Sprintf("%s:%d", s.ip(coreHost(i)), s.controlPort) }

// controls returns the addresses of all cores for workers and operators.
func (s *system) controls() []string {
	var all []string
	for i := range coreCount {
		all = append(all, s.control(i))
	}
	return all
}

func (s *system) calls() string { return fmt.Sprintf("%s:%d", s.ip(gatewayHost), s.callPort) }

// settings returns what deploy/settings.json.tmpl yields for a process.
func (s *system) settings(name, role, zone string, host int, listen map[string]string, bootstrap bool) map[string]any {
	data := ""
	if role == "coordination" {
		data = filepath.Join(s.folder, name)
	}
	return map[string]any{
		"instance": name, "role": role, "data-center": zone, "region": "region",
		"data-centers": []string{"z1", "z2", "z3", "z4"},
		"address":      fmt.Sprintf("%s:%d", s.ip(host), s.internalPort),
		"seeds":        s.controls()[:3], "listen": listen, "metrics": fmt.Sprintf("%s:%d", s.ip(host), s.metricsPort),
		"bootstrap": bootstrap, "data-folder": data, "memory-mib": s.memory, "descriptors": descriptors,
		"advice": "", "machines": s.machines[name],
		"bounds":  map[string]any{"grace": "6s", "max-lease": "6000ms", "duty-lease": "3000ms", "stop-time": "200ms", "gang-wait": "3000ms"},
		"control": map[string]any{"tolerated-losses": 1},
	}
}

// start starts all processes at the first start of the system.
func (s *system) start() error {
	for i := range coreCount {
		if err := s.startCore(i, true); err != nil {
			return err
		}
	}
	listen := map[string]string{"calls": s.calls(), "ready": fmt.Sprintf("%s:%d", s.ip(gatewayHost), s.okPort)}
	return s.run("edge-z1-1", s.settings("edge-z1-1", "gateway", "z1", gatewayHost, listen, true))
}

func (s *system) startCore(i int, bootstrap bool) error {
	listen := map[string]string{"control": s.control(i)}
	return s.run(coreName(i), s.settings(coreName(i), "coordination", fmt.Sprintf("z%d", i+1), coreHost(i), listen, bootstrap))
}

// errClosed reports a start after the end of the script.
var errClosed = errors.New("the script has ended")

// run starts the command of the deploy file with settings.
func (s *system) run(name string, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	path := filepath.Join(s.folder, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	output, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer output.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	command := exec.Command(s.program, "node", "--settings", path)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{command: command, ended: make(chan struct{})}
	s.processes[name] = p
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	s.record.note("platform: started %s", name)
	return nil
}

// signal sends a signal to a process.
func (s *system) signal(name string, signal syscall.Signal) {
	s.record.say("platform: %v to %s", signal, name)
	_ = s.process(name).command.Process.Signal(signal)
}

// process returns the last process of a name.
func (s *system) process(name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[name]
}

// close ends all processes and removes the folder, unless KEEP is set.
func (s *system) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, p := range s.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range s.processes {
		select {
		case <-p.ended:
		case <-time.After(5 * time.Second):
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are in", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}

// lastEvent returns the last line of the log of a process that holds a text.
func (s *system) lastEvent(name, text string) string {
	data, err := os.ReadFile(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return ""
	}
	lines := strings.Split(string(data), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.Contains(lines[i], text) {
			return lines[i]
		}
	}
	return ""
}
