package node_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberryd/node"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/responder"
)

const nodeSettings = `{"instance":"%s","role":"%s","data-center":"dc","data-centers":["z0"],"address":"%s:7000","seeds":["core-1:1","core-2:1","core-3:1"],
"listen":{%s},"metrics":"%s:9464","bootstrap":true,"data-folder":"%s"}`

func startNode(t *testing.T, network *faker.Network, name, role, listen string) *node.Node {
	t.Helper()
	return startLoggedNode(t, network, name, role, listen, log.NewNopLogger())
}

func startLoggedNode(t *testing.T, network *faker.Network, name, role, listen string, logger log.Logger) *node.Node {
	t.Helper()
	settings, err := loader.LoadNode(fmt.Appendf(nil, nodeSettings, name, role, name, listen, name, t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	n, err := node.New(settings, node.Dependencies{
		DroppedLines: func() int64 { return 7 }, SetLogRate: func(int) {},
		Listen: network.Listen, Dial: network.Dial(name), Logger: logger,
		Clock: func() time.Duration { return time.Since(startedAt) },
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return n
}

// startSystem starts three coordination instances and a gateway, and returns them in this
// order with a client of their network.
func startSystem(t *testing.T, logger log.Logger) ([]*node.Node, *http.Client) {
	t.Helper()
	network := faker.NewNetwork()
	var nodes []*node.Node
	for i := 1; i <= 3; i++ {
		name := fmt.Sprintf("core-%d", i)
		nodes = append(nodes, startLoggedNode(t, network, name, loader.RoleCoordination, fmt.Sprintf(`"control":"%s:8000"`, name), logger))
	}
	nodes = append(nodes, startLoggedNode(t, network, "edge-1", loader.RoleGateway, `"calls":"edge-1:80","ready":"edge-1:81"`, logger))
	return nodes, &http.Client{Transport: &http.Transport{DialContext: network.Dial("client")}}
}

func stopSystem(t *testing.T, nodes []*node.Node, client *http.Client) {
	t.Helper()
	client.CloseIdleConnections()
	for _, n := range nodes {
		if err := n.Stop(); err != nil {
			t.Error(err)
		}
	}
}

// TestJobThroughGateway starts three coordination instances and a gateway, applies a
// catalog, submits, queries and cancels a job through the gateway, reads the metrics
// and stops the nodes. It guards against faults in how a node is assembled.
func TestJobThroughGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := faker.NewNetwork()
		var nodes []*node.Node
		for i := 1; i <= 3; i++ {
			name := fmt.Sprintf("core-%d", i)
			nodes = append(nodes, startNode(t, network, name, loader.RoleCoordination, fmt.Sprintf(`"control":"%s:8000"`, name)))
		}
		gateway := startNode(t, network, "edge-1", loader.RoleGateway, `"calls":"edge-1:80","ready":"edge-1:81"`)
		transport := &http.Transport{DialContext: network.Dial("client")}
		client := &http.Client{Transport: transport}
		callNode := func(host string, call forwarder.Call, want responder.Code) string {
			t.Helper()
			call.Host, call.Key = "h", "k"
			body, err := json.Marshal(call)
			if err != nil {
				t.Fatal(err)
			}
			response, err := client.Post("http://"+host+":7000"+forwarder.Path, "application/json", bytes.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			var answer forwarder.Answer
			if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
				t.Fatal(err)
			}
			if answer.Code != want {
				t.Errorf("call %s at %s: code %s, reason %q, want code %s", call.Kind, host, answer.Code, answer.Reason, want)
			}
			return string(answer.Document)
		}
		time.Sleep(5 * time.Second)
		submit := forwarder.Call{Kind: forwarder.KindSubmit, Path: "/q/00000000000000aa", Document: []byte(`{"spec":"s","steps":[{"width":1}]}`)}
		callNode("edge-1", submit, responder.CodeUnavailable)
		catalog := `{"version":1,"queues":[{"name":"q","host":"h","path-prefix":"/q/","worker-pool":"p","timeout-ms":9}],
			"pools":[{"name":"p"}],"teams":[{"name":"a","keys":["k"]}]}`
		callNode("edge-1", forwarder.Call{Kind: forwarder.KindConfigure, Document: []byte(catalog)}, forwarder.CodeOK)
		callNode("edge-1", forwarder.Call{Kind: forwarder.KindConfigure, Document: []byte(`{"version":2}`)}, responder.CodeInvalid)
		callNode("edge-1", submit, forwarder.CodeOK)
		if got := callNode("edge-1", forwarder.Call{Kind: forwarder.KindState, Path: submit.Path}, forwarder.CodeOK); got != `{"state":"queued"}` {
			t.Errorf("state of the job is %s, want queued", got)
		}
		if got := callNode("edge-1", forwarder.Call{Kind: forwarder.KindState, Path: "/q/"}, forwarder.CodeOK); got != `{"pending":1}` {
			t.Errorf("state of the queue is %s, want 1 pending job", got)
		}
		callNode("edge-1", forwarder.Call{Kind: forwarder.KindCancel, Path: submit.Path}, forwarder.CodeOK)
		callNode("edge-1", forwarder.Call{Kind: forwarder.KindEmptyDataCenter, DataCenter: "z0"}, forwarder.CodeOK)
		callNode("edge-1", forwarder.Call{Kind: forwarder.KindEmptyDataCenter, DataCenter: "z2"}, responder.CodeNotFound)
		time.Sleep(time.Second)
		var vars strings.Builder
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			response, err := client.Get("http://" + name + ":9464/debug/vars")
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(&vars, response.Body)
			_ = response.Body.Close()
		}
		for _, want := range []string{
			`"rules":true`, `"catalog-age-ms"`, `"pending"`, `"events.job-accepted"`, `"events.data-center-emptied"`, `"name":"z0","emptied":true,"version":1`, `"events.office-taken"`, `"jobs.cancelled"`,
			`"name":"job","member":"a","class":"q.cancelled","count":1`, `"name":"commit"`, `"name":"sync"`, `"team-shares":[{"team":"a"`, `"log.lines-dropped": 7`,
		} {
			if !strings.Contains(vars.String(), want) {
				t.Errorf("metrics do not contain %s: %s", want, vars.String())
			}
		}
		if err := gateway.Ready(); err != nil {
			t.Error(err)
		}
		transport.CloseIdleConnections()
		for _, n := range append([]*node.Node{gateway}, nodes...) {
			start := time.Now()
			if err := n.Stop(); err != nil {
				t.Error(err)
			}
			if took := time.Since(start); took > 6*time.Second {
				t.Errorf("stopping took %v, want at most 6s", took)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		<-ctx.Done()
	})
}

// Guards against clients that take memory with heads of any size, or hold a connection with
// a body that doesn't arrive. A head within the limit must be served on each listener.
func TestRequestsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, client := startSystem(t, log.NewNopLogger())
		defer time.Sleep(time.Second)
		defer stopSystem(t, nodes, client)
		time.Sleep(5 * time.Second)
		transport := client.Transport.(*http.Transport)
		status := func(address, text string) int {
			conn, err := transport.DialContext(t.Context(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, text) }()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Errorf("%s: %.50q: %v", address, text, err)
				return 0
			}
			return response.StatusCode
		}
		for _, address := range []string{"edge-1:80", "edge-1:81", "edge-1:7000", "edge-1:9464", "core-1:8000", "core-1:7000", "core-1:9464"} {
			for _, test := range []struct {
				headBytes int
				limited   bool
			}{{16 << 10, false}, {24 << 10, true}} {
				start := "GET /a HTTP/1.1\r\nHost: h\r\nA: "
				text := start + strings.Repeat("a", test.headBytes-len(start)-4) + "\r\n\r\n"
				if got := status(address, text); (got == http.StatusRequestHeaderFieldsTooLarge) != test.limited {
					t.Errorf("%s: head of %d bytes: status %d, limited: %t", address, test.headBytes, got, test.limited)
				}
			}
		}
		begin := time.Now()
		status("edge-1:80", "POST /q/00000000000000aa HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{")
		if took, limit := time.Since(begin), loader.DefaultNode().Requests.BodyTimeout.Std(); took > limit+time.Second {
			t.Errorf("a body that doesn't arrive held its connection for %v, want %v", took, limit)
		}
	})
}

func TestLoadNodeRejectsInvalidSettings(t *testing.T) {
	valid := fmt.Sprintf(nodeSettings, "n", "coordination", "h", "", "h", "/d")
	tests := []struct{ name, settings, key string }{
		{"valid", valid, ""},
		{"unknown role", strings.Replace(valid, `"role":"coordination"`, `"role":"x"`, 1), "role"},
		{"no data folder", strings.Replace(valid, `"/d"`, `""`, 1), "data-folder"},
		{"bad address", strings.Replace(valid, `"h:7000"`, `"h"`, 1), "address"},
		{"unknown key", strings.Replace(valid, `"role"`, `"rolle"`, 1), "rolle"},
		{"unknown sharing", strings.Replace(valid, `"bootstrap"`, `"sharing":"some","bootstrap"`, 1), "sharing"},
		{"sharing", strings.Replace(valid, `"bootstrap"`, `"sharing":"fair","bootstrap"`, 1), ""},
		{"learned run times", strings.Replace(valid, `"bootstrap"`, `"run-times":"learned","bootstrap"`, 1), ""},
		{"unknown run times", strings.Replace(valid, `"bootstrap"`, `"run-times":"guessed","bootstrap"`, 1), "run-times"},
		{"data centre without a name", strings.Replace(valid, `["z0"]`, `["z0",""]`, 1), "data-centers"},
		{"limits of requests", strings.Replace(valid, `"bootstrap"`, `"requests":{"max-head-bytes":32768,"body-timeout":"1m"},"bootstrap"`, 1), ""},
		{"heads of any size", strings.Replace(valid, `"bootstrap"`, `"requests":{"max-head-bytes":0},"bootstrap"`, 1), "max-head-bytes"},
		{"bad time of bodies", strings.Replace(valid, `"bootstrap"`, `"requests":{"body-timeout":"0s"},"bootstrap"`, 1), "body-timeout"},
		{"bad time", strings.Replace(valid, `"bootstrap"`, `"bounds":{"grace":"6"},"bootstrap"`, 1), "grace"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := loader.LoadNode([]byte(test.settings))
			if test.key == "" && err != nil || test.key != "" && (err == nil || !strings.Contains(err.Error(), test.key)) {
				t.Errorf("LoadNode returned %v, want an error that names the key %q", err, test.key)
			}
		})
	}
}

func TestChangesSeparatesReloadableFromRestart(t *testing.T) {
	text := fmt.Sprintf(nodeSettings, "n", "coordination", "h", "", "h", "/d")
	tests := []struct{ name, old, next, applied, restart string }{
		{"no change", "", "", "", ""},
		{"seeds", `["core-1:1"`, `["core-9:1"`, "seeds", ""},
		{"log rate", `"bootstrap"`, `"log":{"lines-per-second":7},"bootstrap"`, "log", ""},
		{"memory", `"bootstrap"`, `"memory-mib":99,"bootstrap"`, "memory-mib", ""},
		{"bootstrap", `"bootstrap":true`, `"bootstrap":false`, "", ""},
		{"address", `"h:7000"`, `"h:7001"`, "", "address"},
		{"metrics and advice addresses", `"metrics":"h:9464"`, `"advice":"a:1"`, "", "advice,metrics"},
		{"run times", `"bootstrap"`, `"run-times":"learned","bootstrap"`, "", "run-times"},
		{"limits of requests", `"bootstrap"`, `"requests":{"head-timeout":"5s"},"bootstrap"`, "", "requests"},
		{"data centres", `["z0"]`, `["z0","z1"]`, "", "data-centers"},
		{"replicated log", `"bootstrap"`, `"control":{"tolerated-losses":2},"bootstrap"`, "", "control"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before, err := loader.LoadNode([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			after, err := loader.LoadNode([]byte(strings.Replace(text, test.old, test.next, 1)))
			if err != nil {
				t.Fatal(err)
			}
			applied, restart := before.Changes(after)
			if strings.Join(applied, ",") != test.applied || strings.Join(restart, ",") != test.restart {
				t.Errorf("applied %v, need a restart %v, want %q and %q", applied, restart, test.applied, test.restart)
			}
		})
	}
}
