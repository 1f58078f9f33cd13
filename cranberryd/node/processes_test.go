package node_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	coordinationHost = "127.0.0.2"
	gatewayHost      = "127.0.0.3"
	// clientHost is the host of all clients. It is no host of an instance, whose
	// connections may be exempt from bounds.
	clientHost = "127.0.0.9"
	// descriptors is the setting of each process.
	descriptors = 1000
	// killFactor is the multiple of its memory at which a process is killed, so that a
	// failing test leaves the machine alone.
	killFactor = 4
	// patience bounds how long an ordinary caller retries, and attemptTimeout one try.
	patience       = 2 * time.Minute
	attemptTimeout = 5 * time.Second
	retryPause     = 50 * time.Millisecond
)

var (
	// programFolder holds the program once it has been built; TestMain removes it.
	programFolder string
	buildProgram  = sync.OnceValues(func() (string, error) {
		var err error
		if programFolder, err = os.MkdirTemp("", "cranberryd"); err != nil {
			return "", err
		}
		program := filepath.Join(programFolder, "cranberryd")
		if output, err := exec.Command("go", "build", "-o", program, "cranberrystack.dev/cranberryd").CombinedOutput(); err != nil {
			return "", fmt.Errorf("build cranberryd: %w: %s", err, output)
		}
		return program, nil
	})
)

// process is a running process of the system.
type process struct {
	role      string
	memoryMiB int64
	command   *exec.Cmd
	log       string
	// ended is closed when the process has ended.
	ended chan struct{}
	// peak is the largest resident memory seen, in bytes.
	peak atomic.Int64
}

// startProcess starts a node and kills it at the end of the test.
func startProcess(t *testing.T, role string, memoryMiB int64, settings string) *process {
	t.Helper()
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	path := filepath.Join(folder, "settings.json")
	p := &process{role: role, memoryMiB: memoryMiB, log: filepath.Join(folder, "log"), ended: make(chan struct{})}
	settings = fmt.Sprintf(`{"instance":"%s-1","role":"%s","data-center":"dc","seeds":["%s:1"],"data-folder":"%s","memory-mib":%d,"descriptors":%d,%s}`,
		role, role, coordinationHost, filepath.Join(folder, "data"), memoryMiB, descriptors, settings)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	output, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	p.command = exec.Command(program, "node", "--settings", path)
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.ended)
		_ = p.command.Wait()
	}()
	go p.watch()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	return p
}

// watch records the peak of the memory until the process ends.
func (p *process) watch() {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.measure()
			if p.peak.Load() > killFactor*p.memoryMiB<<20 {
				_ = p.command.Process.Kill()
			}
		case <-p.ended:
			return
		}
	}
}

// measure takes the peak from the kernel, which counts it without gaps.
func (p *process) measure() {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	var kibibytes int64
	if _, err := fmt.Sscan(after, &kibibytes); err == nil {
		p.peak.Store(max(p.peak.Load(), kibibytes<<10))
	}
}

// check fails the test if the process has ended or has left its limits.
func (p *process) check(t *testing.T) {
	t.Helper()
	p.measure()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	peak := float64(p.peak.Load()) / (1 << 20)
	t.Logf("%s: peak %.1f of %d MiB, %d of %d descriptors", p.role, peak, p.memoryMiB, len(files), descriptors)
	if peak > float64(p.memoryMiB) {
		t.Errorf("%s: peak of the memory %.1f MiB, allowed %d", p.role, peak, p.memoryMiB)
	}
	if len(files) > descriptors {
		t.Errorf("%s: %d open descriptors, allowed %d", p.role, len(files), descriptors)
	}
	select {
	case <-p.ended:
		events, _ := os.ReadFile(p.log)
		t.Fatalf("%s: the process has ended (%v), last output: %s", p.role, p.command.ProcessState, events[max(0, len(events)-1000):])
	default:
	}
	if err != nil {
		t.Errorf("%s: %v", p.role, err)
	}
}

// listener is an address that a process serves.
type listener struct {
	name string
	// crowd is a number of connections over the listener's share of the descriptors.
	crowd int
	// ordinary is an ordinary request: its first line, and its body or "". %016x
	// stands for the id of a new job. The answer contains want.
	ordinary, body, want string
	// upload is the first line of a request with a body; uploadBytes is the largest size
	// of one, or 0 if the listener takes none.
	upload      string
	uploadBytes int
	// large is a request with one of the largest answers of the listener.
	large string
	// address and process are set by startProcesses.
	address string
	process *process
}

const readCatalogCall = `{"kind":"read-catalog"}`

// startProcesses starts a coordination instance and a gateway with a large catalog, and
// returns them with the listeners of each role.
func startProcesses(t *testing.T) (processes []*process, listeners map[string]*listener) {
	t.Helper()
	forwarded := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head("POST /calls"), len(readCatalogCall), readCatalogCall)
	vars := head("GET /debug/vars") + "\r\n"
	listeners = map[string]*listener{}
	for _, l := range []listener{
		{name: "gateway calls", crowd: 700, ordinary: "POST /q/%016x", body: `{"spec":"s","steps":[{"width":1}]}`,
			upload: "POST /q/00000000000000aa", uploadBytes: 256 << 10, large: head("GET /q/00000000000000aa") + "\r\n"},
		{name: "gateway ready", crowd: 60, ordinary: "GET /v1/readyz", upload: "POST /v1/readyz", large: head("GET /v1/readyz") + "\r\n"},
		{name: "gateway metrics", crowd: 60, ordinary: "GET /debug/vars", want: "descriptors", upload: "POST /debug/vars", large: vars},
		{name: "gateway address", crowd: 700, ordinary: "POST /calls", body: `{"kind":"overview"}`, want: `"code":"ok"`,
			upload: "POST /calls", uploadBytes: 64 << 20, large: forwarded},
		{name: "coordination control", crowd: 250, ordinary: "GET /v1/config", want: `"version":1`,
			upload: "PUT /v1/config", uploadBytes: 8 << 20, large: head("GET /v1/config") + "\r\n"},
		{name: "coordination address", crowd: 250, ordinary: "POST /calls", body: `{"kind":"overview"}`, want: `"code":"ok"`,
			upload: "POST /log/messages", uploadBytes: 64 << 20, large: forwarded},
		{name: "coordination metrics", crowd: 30, ordinary: "GET /debug/vars", want: "descriptors", upload: "POST /debug/vars", large: vars},
	} {
		listeners[l.name] = &l
	}
	ports := freePorts(t, 4)
	at := func(name, host string, port int) string {
		listeners[name].address = net.JoinHostPort(host, ports[port])
		return listeners[name].address
	}
	// Instances serve each other on one port.
	processes = append(processes, startProcess(t, "coordination", 96, fmt.Sprintf(`"address":"%s","listen":{"control":"%s"},"metrics":"%s","bootstrap":true,"control":{"tolerated-losses":0}`,
		at("coordination address", coordinationHost, 0), at("coordination control", coordinationHost, 1), at("coordination metrics", coordinationHost, 2))))
	processes = append(processes, startProcess(t, "gateway", 64, fmt.Sprintf(`"address":"%s","listen":{"calls":"%s","ready":"%s"},"metrics":"%s"`,
		at("gateway address", gatewayHost, 0), at("gateway calls", gatewayHost, 1), at("gateway ready", gatewayHost, 2), at("gateway metrics", gatewayHost, 3))))
	for _, l := range listeners {
		l.process = processes[0]
		if strings.HasPrefix(l.name, processes[1].role) {
			l.process = processes[1]
		}
	}
	catalog := strings.Builder{}
	catalog.WriteString(`{"version":1,"pools":[{"name":"p"}],"teams":[{"name":"a","keys":["k"]}],"queues":[{"name":"q","host":"h","path-prefix":"/q/","worker-pool":"p","timeout-ms":9}`)
	for i := range 2000 {
		fmt.Fprintf(&catalog, `,{"name":"queue-%d","host":"host-%d.example","path-prefix":"/prefix-%d/","worker-pool":"p","timeout-ms":3000,"objective-ms":1000}`, i, i, i)
	}
	catalog.WriteString("]}")
	configure := *listeners["coordination control"]
	configure.ordinary, configure.body, configure.want = "PUT /v1/config", catalog.String(), ""
	for _, l := range []*listener{&configure, listeners["gateway calls"], listeners["gateway ready"]} {
		if err := l.call(t.Context(), ""); err != nil {
			t.Errorf("start: %v", err)
			for _, p := range processes {
				p.check(t)
			}
			t.FailNow()
		}
	}
	return processes, listeners
}

// freePorts returns different ports that are free on the hosts of both roles.
func freePorts(t *testing.T, count int) []string {
	t.Helper()
	var ports []string
	for len(ports) < count {
		first, err := net.Listen("tcp", coordinationHost+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer first.Close()
		_, port, _ := net.SplitHostPort(first.Addr().String())
		if second, err := net.Listen("tcp", net.JoinHostPort(gatewayHost, port)); err == nil {
			defer second.Close()
			ports = append(ports, port)
		}
	}
	return ports
}

// head returns the head of a request without its last line.
func head(line string) string {
	return line + " HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\n"
}

var clientDialer = net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(clientHost)}}

var jobs atomic.Int64

// call sends the ordinary request with additional header lines until it is answered, or
// the process has ended.
func (l *listener) call(ctx context.Context, lines string) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		err := l.try(ctx, lines)
		if err == nil || errors.Is(err, errRefused) {
			return err
		}
		select {
		case <-time.After(retryPause):
			continue
		case <-ctx.Done():
		case <-l.process.ended:
		}
		return fmt.Errorf("no answer to %s at %s: %w", l.ordinary, l.name, err)
	}
}

// retriedStatuses are those after which a caller sends its request again: it has not been
// carried out, or the outcome is unknown.
var retriedStatuses = []int{
	http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout,
}

// errRefused reports an answer after which a caller doesn't retry.
var errRefused = errors.New("refused")

func (l *listener) try(ctx context.Context, lines string) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	conn, err := clientDialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	line := l.ordinary
	if strings.Contains(line, "%") {
		line = fmt.Sprintf(line, jobs.Add(1))
	}
	if l.body != "" {
		lines += fmt.Sprintf("Content-Length: %d\r\n", len(l.body))
	}
	if _, err := io.WriteString(conn, head(line)+lines+"\r\n"+l.body); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return err
	case slices.Contains(retriedStatuses, response.StatusCode):
		return fmt.Errorf("status %d: %.200s", response.StatusCode, answer)
	case response.StatusCode != http.StatusOK || !strings.Contains(string(answer), l.want):
		return fmt.Errorf("%w: %s at %s: status %d: %.200s", errRefused, l.ordinary, l.name, response.StatusCode, answer)
	}
	return nil
}
