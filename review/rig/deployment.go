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
	"strconv"
	"syscall"
	"time"
)

// node is one process of the product.
type node struct {
	name, role, ip string
	settings       string
	// started says that the node has been started before; only the first start of the
	// whole system may form a group.
	started bool
	process *exec.Cmd
	ended   chan struct{}
}

// ports are the ports that all nodes use, each on its own loopback address.
type ports struct{ internal, calls, ready, control, metrics int }

// deployment is a small system: some control nodes and gateways.
type deployment struct {
	root, folder string
	log          *os.File
	record       *record
	ports        ports
	// machines and advice are the addresses of the machine manager and of the service for
	// advice, "" if there is none.
	machines, advice string
	control          []*node
	gateways         []*node
}

const binary = "target/cranberryd"

// newDeployment prepares a system in a temporary folder.
func newDeployment(root string, r *record, control, gateways int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, "nodes.log"))
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, folder: folder, log: log, record: r}
	network := 1 + rand.IntN(200)
	for i := range control {
		d.control = append(d.control, &node{name: fmt.Sprintf("core-%d", i+1), role: "coordination", ip: fmt.Sprintf("127.%d.1.%d", network, i+1)})
	}
	for i := range gateways {
		d.gateways = append(d.gateways, &node{name: fmt.Sprintf("edge-%d", i+1), role: "gateway", ip: fmt.Sprintf("127.%d.2.%d", network, i+1)})
	}
	return d, d.choosePorts()
}

func (d *deployment) nodes() []*node { return append(append([]*node{}, d.control...), d.gateways...) }

// choosePorts finds ports that are free on the addresses of all nodes.
func (d *deployment) choosePorts() error {
	for range 50 {
		base := 20000 + rand.IntN(20000)
		if d.portsFree(base) {
			d.ports = ports{internal: base, calls: base + 1, ready: base + 2, control: base + 3, metrics: base + 4}
			return nil
		}
	}
	return errors.New("no free ports")
}

func (d *deployment) portsFree(base int) bool {
	for _, n := range d.nodes() {
		for offset := range 5 {
			listener, err := net.Listen("tcp", at(n.ip, base+offset))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// settingsOf returns the settings of a node as the template of the deploy file renders
// them for a small deployment.
func (d *deployment) settingsOf(n *node) map[string]any {
	var seeds []string
	for _, c := range d.control[:min(3, len(d.control))] {
		seeds = append(seeds, at(c.ip, d.ports.control))
	}
	listen := map[string]string{"calls": at(n.ip, d.ports.calls), "ready": at(n.ip, d.ports.ready)}
	data, memory := "", 284
	if n.role == "coordination" {
		listen = map[string]string{"control": at(n.ip, d.ports.control)}
		data, memory = filepath.Join(d.folder, n.name), 280
	}
	return map[string]any{
		"instance": n.name, "role": n.role, "data-center": "nyarugenge", "region": "kigali", "data-centers": []string{"nyarugenge"},
		"address": at(n.ip, d.ports.internal), "seeds": seeds, "listen": listen, "metrics": at(n.ip, d.ports.metrics),
		"bootstrap": !n.started, "data-folder": data, "memory-mib": memory, "descriptors": 4096, "advice": d.advice, "machines": d.machines,
		"bounds":  map[string]string{"grace": "6s", "max-lease": "6000ms", "duty-lease": "3000ms", "stop-time": "200ms", "gang-wait": "3000ms"},
		"control": map[string]int{"tolerated-losses": 1},
	}
}

// start starts all nodes.
func (d *deployment) start() error {
	for _, n := range d.nodes() {
		if err := d.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings that are in force at the next start of a node.
func (d *deployment) writeSettings(n *node) error {
	data, err := json.Marshal(d.settingsOf(n))
	if err != nil {
		return err
	}
	n.settings = filepath.Join(d.folder, n.name+".json")
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return err
	}
	if n.role != "coordination" {
		return nil
	}
	return os.MkdirAll(filepath.Join(d.folder, n.name), 0o700)
}

// startNode starts a node with the settings that are in force now.
func (d *deployment) startNode(n *node) error {
	if err := d.writeSettings(n); err != nil {
		return err
	}
	n.process = exec.Command(filepath.Join(d.root, binary), "node", "--settings", n.settings)
	n.process.Dir = d.root
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "LANG=C"}
	n.process.Stdout, n.process.Stderr = d.log, d.log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	ended, process := make(chan struct{}), n.process
	n.ended = ended
	go func() {
		err := process.Wait()
		d.record.add("process of %s has ended: %v", n.name, err)
		close(ended)
	}()
	d.record.add("process of %s is started, bootstrap %v", n.name, !n.started)
	n.started = true
	return nil
}

// signal sends a signal to the process of a node.
func (d *deployment) signal(n *node, s syscall.Signal) {
	d.record.add("signal %v to %s", s, n.name)
	_ = n.process.Process.Signal(s)
}

// stop ends all processes, and removes the temporary folder unless KEEP is set.
func (d *deployment) stop() {
	for _, n := range d.nodes() {
		if n.process != nil && n.process.Process != nil {
			_ = n.process.Process.Kill()
		}
	}
	for _, n := range d.nodes() {
		if n.ended == nil {
			continue
		}
		select {
		case <-n.ended:
		case <-time.After(3 * time.Second):
		}
	}
	_ = d.log.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}
