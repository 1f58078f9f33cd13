// Package scenario_test runs scripts that start, kill and stop cranberryd
// processes and call them with cranberryctl over loopback.
package scenario_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	ctl "cranberrystack.dev/cranberryctl/command"
	daemon "cranberrystack.dev/cranberryd/command"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
	"cranberrystack.dev/cranberrystack/placer"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cranberryd":   func() { os.Exit(daemon.Execute(os.Args[1:], os.Stdout, os.Stderr)) },
		"cranberryctl": func() { os.Exit(ctl.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// addressCount is the number of free addresses that each script gets.
const addressCount = 4

// TestScripts runs the scripts under testdata. Each gets free loopback
// addresses as $ADDR1 to $ADDR4.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			for i := range addressCount {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					return err
				}
				env.Setenv(fmt.Sprintf("ADDR%d", i+1), listener.Addr().String())
				if err := listener.Close(); err != nil {
					return err
				}
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"expand":          expand,
			"ready":           ready,
			"upstream":        startUpstream,
			"worker":          startWorker,
			"announced":       announced,
			"in-force":        inForce,
			"terminate":       terminate,
			"freeze":          freezeLeader,
			"thaw":            thaw,
			"apply-elsewhere": applyElsewhere,
		},
	})
}

// expand replaces $NAME in files with the script's variables: expand FILE...
func expand(ts *testscript.TestScript, _ bool, arguments []string) {
	for _, name := range arguments {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

const pollInterval = 20 * time.Millisecond

// ready waits until instances are ready, bounded only by the timeout of the
// test: ready ADDRESS...
func ready(_ *testscript.TestScript, _ bool, arguments []string) {
	for _, address := range arguments {
		for {
			response, err := http.Get("http://" + address + "/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(pollInterval)
		}
	}
}

// startUpstream starts a fake upstream: upstream ID SLOTS RUNTIME ENTRY...
func startUpstream(ts *testscript.TestScript, _ bool, arguments []string) {
	host, err := faker.NewLoopbackHost("upstream-token-0001", arguments[3:])
	ts.Check(err)
	var slots int
	_, err = fmt.Sscan(arguments[1], &slots)
	ts.Check(err)
	runTime, err := time.ParseDuration(arguments[2])
	ts.Check(err)
	u := faker.NewUpstream(identifier.UpstreamID(arguments[0]), slots, host)
	u.Run = func(_ context.Context, work faker.UpstreamRequest) string {
		time.Sleep(runTime)
		return "done " + work.Body
	}
	u.Start()
	ts.Defer(u.Stop)
}

// startWorker starts a fake worker: worker ID RACK POSITION TASKTIME ENTRY...
func startWorker(ts *testscript.TestScript, _ bool, arguments []string) {
	host, err := faker.NewLoopbackHost("worker-token-000001", arguments[4:])
	ts.Check(err)
	var position int
	_, err = fmt.Sscan(arguments[2], &position)
	ts.Check(err)
	runTime, err := time.ParseDuration(arguments[3])
	ts.Check(err)
	w := faker.NewWorker(placer.Worker{
		ID: identifier.WorkerID(arguments[0]), Rack: identifier.RackID(arguments[1]),
		Position: position, Accelerator: "gpu", Accelerators: 8,
	}, host)
	w.Task = func(leaser.ID, []byte) faker.TaskResult { return faker.TaskResult{RunTime: runTime} }
	w.Start()
	ts.Defer(w.Stop)
}

// announced waits until each instance knows at least COUNT upstreams:
// announced COUNT ADDRESS...
func announced(ts *testscript.TestScript, _ bool, arguments []string) {
	var count int
	_, err := fmt.Sscan(arguments[0], &count)
	ts.Check(err)
	for _, address := range arguments[1:] {
		for countUpstreams(ts, address) < count {
			time.Sleep(pollInterval)
		}
	}
}

func countUpstreams(ts *testscript.TestScript, address string) int {
	var records []json.RawMessage
	get(ts, address, "/v1/upstreams", &records)
	return len(records)
}

// inForce waits until a version of the lists, or a later one, is in force on
// each instance: in-force VERSION ADDRESS...
func inForce(ts *testscript.TestScript, _ bool, arguments []string) {
	var version int
	_, err := fmt.Sscan(arguments[0], &version)
	ts.Check(err)
	for _, address := range arguments[1:] {
		var lists struct {
			Version int `json:"version"`
		}
		for lists.Version < version {
			get(ts, address, "/v1/lists", &lists)
			time.Sleep(pollInterval)
		}
	}
}

func get(ts *testscript.TestScript, address, path string, result any) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	ts.Check(err)
	request.Header.Set("Authorization", "Bearer "+ts.Getenv("CRANBERRY_OPERATOR_TOKEN"))
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	defer response.Body.Close()
	ts.Check(json.NewDecoder(response.Body).Decode(result))
}

// signalTo sends a signal to a background process of the script. Its position
// is the index among those that the script hasn't waited for yet.
func signalTo(ts *testscript.TestScript, position string, signal syscall.Signal) {
	var index int
	_, err := fmt.Sscan(position, &index)
	ts.Check(err)
	ts.Check(ts.BackgroundCmds()[index].Process.Signal(signal))
}

// terminate sends SIGTERM to the process at a position: terminate POSITION.
func terminate(ts *testscript.TestScript, _ bool, arguments []string) {
	signalTo(ts, arguments[0], syscall.SIGTERM)
}

// freezeLeader suspends the leader's process with SIGSTOP, which keeps its
// memory and connections, and sets $FROZEN to its address and $PLACE to its
// position: freeze ADDRESS... The addresses are in the order of the processes.
func freezeLeader(ts *testscript.TestScript, _ bool, arguments []string) {
	for {
		for position, address := range arguments {
			var vars struct {
				Control struct {
					Role string `json:"role"`
				} `json:"control"`
			}
			get(ts, address, "/debug/vars", &vars)
			if vars.Control.Role != "leader" {
				continue
			}
			ts.Setenv("FROZEN", address)
			ts.Setenv("PLACE", fmt.Sprint(position))
			signalTo(ts, fmt.Sprint(position), syscall.SIGSTOP)
			return
		}
		time.Sleep(pollInterval)
	}
}

// thaw resumes the process at a position with SIGCONT: thaw POSITION.
func thaw(ts *testscript.TestScript, _ bool, arguments []string) {
	signalTo(ts, arguments[0], syscall.SIGCONT)
}

// applyElsewhere applies lists through the first instance that isn't frozen:
// apply-elsewhere FILE REQUEST-ID EXPECTED ADDRESS...
func applyElsewhere(ts *testscript.TestScript, _ bool, arguments []string) {
	for _, address := range arguments[3:] {
		if address == ts.Getenv("FROZEN") {
			continue
		}
		ts.Check(ts.Exec("cranberryctl", "lists", "apply", arguments[0],
			"--request-id", arguments[1], "--expected", arguments[2], "--address", address))
		return
	}
}
