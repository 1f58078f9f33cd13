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

// Host holds the listener of a fake and what it needs to reach other hosts.
type Host struct {
	Listener net.Listener
	Dial     messenger.Dial
	// Token is the bearer token that the fake sends.
	Token string
	// Entries are the addresses of the instances that the fake sends its
	// announcements or reports to, in turn.
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

// entryClient posts messages to one path of the entries, in turn.
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

// send posts a message to the next entry, and after a failure to each of the
// others once. It returns the last error if all fail.
func (c *entryClient) send(in, out any) error {
	var err error
	for range c.host.Entries {
		entry := c.host.Entries[c.next%len(c.host.Entries)]
		c.next++
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err = c.messenger.Post(ctx, entry, c.path, in, out)
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

// newIncarnation returns the incarnation of a start at now, so that a later start
// has a higher one.
func newIncarnation(now time.Time) identifier.Incarnation {
	return identifier.Incarnation(now.UnixNano())
}
