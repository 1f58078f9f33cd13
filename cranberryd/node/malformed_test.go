package node_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"cranberrystack.dev/cranberrystack/forwarder"
)

// A malformed message of an instance or a member, or a malformed document of a worker
// or an operator, must get an error or be ignored; each process must go on serving.
func TestMalformedMessagesLeaveProcessesServing(t *testing.T) {
	bodies := []string{
		"", "{", "null", "[]", `"x"`, "\x00\xff", strings.Repeat("[", 20000), `{"kind":7}`, `{"kind":"append","from":"core-2","term":99,"entries":[{}]}`,
		`{"kind":"append","from":"core-2","term":99,"log-index":18446744073709551615,"entries":[{"index":0,"kind":"membership","data":"e30="}]}`,
		`{"kind":"snapshot","from":"core-3","term":99,"snapshot":{}}`, `{"kind":"append-answer","from":"core-2","granted":true,"match":18446744073709551615}`,
		`{"contacts":[{"worker":"w","born":-1,"sequence":9223372036854775807,"clock-ms":-9223372036854775808,"age-ms":-9223372036854775808},null]}`,
		`{"kind":"submit","path":"//","document":null}`, `{"kind":"report","worker":"","document":{"capacity":null}}`, `{"kind":"configure","document":[1]}`,
		`{"kind":"start-wave","document":{"wave":-1,"machines":[null],"cap":1}}`,
		`{"kind":"report","worker":"w","document":{"address":"a","worker-pool":"p","data-center":"d","born":1,"sequence":1,"state":"ready","capacity":{"accelerators":-5},"labels":[null]}}`,
		`{"kind":"configure","document":{"version":18446744073709551615,"queues":[null],"pools":[{}],"teams":[{"guarantee":{"accelerators":-1}}]}}`, `{"id":"","address":""}`,
		`{"version":18446744073709551616,"queues":[null],"pools":[{}],"teams":[{"guarantee":-1}]}`,
		`{"born":0,"sequence":-1,"state":"x","capacity":{"accelerators":-5},"labels":[null]}`,
	}
	targets := []struct{ method, url string }{
		{http.MethodPost, "http://core-1:7000/log/messages"}, {http.MethodPost, "http://core-1:7000/log/announcements"},
		{http.MethodPost, "http://core-1:7000/contacts"}, {http.MethodPost, "http://core-1:7000" + forwarder.Path},
		{http.MethodPost, "http://edge-1:7000" + forwarder.Path}, {http.MethodPost, "http://edge-1:80/q/00000000000000aa"},
		{http.MethodDelete, "http://edge-1:80/%ff%00"},
	}
	synctest.Test(t, func(t *testing.T) {
		nodes, client := startSystem(t, log.NewNopLogger())
		time.Sleep(5 * time.Second)
		for _, target := range targets {
			for _, body := range bodies {
				request, err := http.NewRequest(target.method, target.url, strings.NewReader(body))
				if err != nil {
					t.Fatal(err)
				}
				response, err := client.Do(request)
				if err != nil {
					t.Errorf("%s %s with %.60q: %v", target.method, target.url, body, err)
					continue
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusInternalServerError {
					t.Errorf("%s %s with %.60q: status 500", target.method, target.url, body)
				}
			}
		}
		time.Sleep(5 * time.Second)
		for i, n := range nodes {
			if err := n.Ready(); i == len(nodes)-1 && err != nil {
				t.Errorf("the gateway is not ready: %v", err)
			}
			select {
			case err := <-n.Failed():
				t.Errorf("node %d failed: %v", i, err)
			default:
			}
		}
		response, err := client.Post("http://edge-1:7000"+forwarder.Path, "application/json", strings.NewReader(`{"kind":"overview"}`))
		if err != nil {
			t.Fatal(err)
		}
		answer, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if !strings.Contains(string(answer), `"code":"ok"`) {
			t.Errorf("overview after the malformed messages: %s", answer)
		}
		stopSystem(t, nodes, client)
	})
}
