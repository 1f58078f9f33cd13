package faker

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/messenger"
)

// Host says how a stand-in is reached and reaches others.
type Host struct {
	Listener net.Listener
	Dial     messenger.Dial
	// Token is what the stand-in presents.
	Token string
	// Entries are the addresses that it announces itself to, in turn.
	Entries []string
}

// NewLoopbackHost returns a host on a free port of the loopback interface.
func NewLoopbackHost(token string, entries []string) (Host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Host{}, err
	}
	dialer := &net.Dialer{}
	return Host{Listener: listener, Dial: dialer.DialContext, Token: token, Entries: entries}, nil
}

func (h *Host) address() string { return h.Listener.Addr().String() }

// entryClient sends a message to the entries in turn until it is stopped.
type entryClient struct {
	host      Host
	messenger *messenger.Messenger
	path      string
	interval  time.Duration
	next      int
}

func newEntryClient(host Host, path string, interval time.Duration) *entryClient {
	return &entryClient{host: host, messenger: messenger.New(host.Token, host.Dial), path: path, interval: interval}
}

// send tries every entry once, beginning with the next in turn.
func (a *entryClient) send(in, out any) error {
	var err error
	for range a.host.Entries {
		entry := a.host.Entries[a.next%len(a.host.Entries)]
		a.next++
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err = a.messenger.Post(ctx, entry, a.path, in, out)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// newIncarnation returns an incarnation for a start at the given time.
func newIncarnation(now time.Time) identifier.Incarnation {
	return identifier.Incarnation(now.UnixNano())
}
