package coordinator

import (
	"bytes"
	"expvar"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"cranberrystack.dev/cranberrystack/recorder"
)

// A renamed event must count under the name that is published under /debug/vars,
// or the tools that read the counter lose it.
func TestEventsCountUnderTheirPublishedNames(t *testing.T) {
	tests := []struct{ event, counter string }{
		{"advice-response", "advice"},
		{"assign-unknown", "assign-lost"},
		{"catalog-configured", "catalog"},
		{"entry-decode-failed", "entry-unreadable"},
		{"leadership-acquired", "office-taken"},
		{"leadership-lost", "office-left"},
		{"leases-expired", "leases-lapsed"},
		{"log-stopped", "log-ended"},
		{"machine-list-failed", "machines-unknown"},
		{"membership-change-started", "membership-change"},
		{"orphaned-run", "stray-run"},
		{"pace-ordered", "pace"},
		{"run-ended", "end"},
		{"start-ordered", "start"},
		{"stop-ordered", "stop"},
		{"stop-resent", "stop-again"},
		{"submit-unknown", "submit-open"},
		{"upkeep-response", "upkeep-answer"},
		{"upkeep-state-changed", "upkeep"},
		{"wave-accepted", "wave"},
		{"worker-registered", "worker"},
		{"worker-responsive", "worker-back"},
		{"worker-unresponsive", "worker-silent"},
		{"job-accepted", "job-accepted"},
		{"run-lost", "run-lost"},
	}
	renamed := 0
	for _, test := range tests {
		var logged bytes.Buffer
		c := &Coordinator{config: Config{Logger: log.NewLogfmtLogger(&logged), Recorder: recorder.New()}}
		c.event(test.event)
		counted := 0
		c.config.Recorder.Vars().Do(func(value expvar.KeyValue) {
			if strings.HasPrefix(value.Key, "events.") {
				counted++
			}
		})
		if counter := "events." + test.counter; counted != 1 || c.config.Recorder.Count(counter) != 1 {
			t.Errorf("event %s: %s is %d, %d event counters, want 1 and 1", test.event, counter, c.config.Recorder.Count(counter), counted)
		}
		if want := "event=" + test.event + "\n"; logged.String() != want {
			t.Errorf("event %s logs %q, want %q", test.event, logged.String(), want)
		}
		if test.event != test.counter {
			renamed++
		}
	}
	if renamed != len(counterNames) {
		t.Errorf("%d renamed events are checked, counterNames holds %d", renamed, len(counterNames))
	}
}
