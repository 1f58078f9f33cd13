package node

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/budgeter"
	"cranberrystack.dev/cranberrystack/forwarder"
)

// Guards against many large bodies at a time that use up the memory of one gateway after
// the other: beyond the budget, calls are refused before their bodies are read, also on
// the paths of the log; small calls and the messages of the log's members pass, and ended
// calls give their memory back.
func TestLargeBodiesAreRefusedBeyondMemory(t *testing.T) {
	const size, held, memoryMiB = 250_000, 4, 23
	shares := newBudgeter(&loader.NodeSettings{MemoryMiB: memoryMiB, Descriptors: 4096, Role: loader.RoleGateway})
	release := make(chan struct{})
	var entered sync.WaitGroup
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Header.Get("Held") != "" {
			entered.Done()
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	})
	serve := func(exempt func(net.Addr) bool) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		bounded := shares.Listen(purposeCalls, listener, exempt)
		server := &http.Server{
			Handler:   budgeter.Bound(handler, time.Minute, refuse),
			ConnState: bounded.ConnState, ConnContext: bounded.ConnContext, ReadHeaderTimeout: time.Minute,
		}
		go func() { _ = server.Serve(bounded) }()
		t.Cleanup(func() { _ = server.Close() })
		return "http://" + listener.Addr().String()
	}
	address, ofMembers := serve(nil), serve(func(net.Addr) bool { return true })
	call := func(url string, bytes int, hold string) (*http.Response, string) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(strings.Repeat("x", bytes)))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Held", hold)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Errorf("%d bytes to %s: %v", bytes, url, err)
			return &http.Response{}, ""
		}
		defer response.Body.Close()
		answer, _ := io.ReadAll(response.Body)
		return response, string(answer)
	}
	var done sync.WaitGroup
	entered.Add(held)
	for range held {
		done.Go(func() { call(address+"/", size, "yes") })
	}
	entered.Wait()
	for _, path := range []string{"/", "/log/messages", "/contacts"} {
		if r, _ := call(address+path, 2*size, ""); r.StatusCode != http.StatusTooManyRequests || r.Header.Get("Retry-After") == "" {
			t.Errorf("a large call to %s: %d %v, want 429 and when to retry", path, r.StatusCode, r.Header)
		}
	}
	if r, answer := call(address+forwarder.Path, 2*size, ""); !strings.Contains(answer, `"code":"overloaded"`) {
		t.Errorf("a large forwarded call: %d %s, want it refused as overloaded", r.StatusCode, answer)
	}
	for _, passes := range []struct {
		url   string
		bytes int
	}{
		{address + "/", 8 << 10},
		{ofMembers + "/log/messages", 4 * size},
	} {
		if r, _ := call(passes.url, passes.bytes, ""); r.StatusCode != http.StatusNoContent {
			t.Errorf("%d bytes to %s: %d, want them to pass", passes.bytes, passes.url, r.StatusCode)
		}
	}
	close(release)
	done.Wait()
	if r, _ := call(address+"/", 2*size, ""); r.StatusCode != http.StatusNoContent {
		t.Errorf("after the others have ended: %d", r.StatusCode)
	}
	http.DefaultClient.CloseIdleConnections()
	for end := time.Now().Add(time.Minute); shares.Memory().Used != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still counted", shares.Memory().Used)
		}
	}
}
