package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"

	"cranberrystack.dev/cranberrystack/identifier"
)

// The roles of a node.
const (
	// RoleGateway accepts calls of members and forwards them to the leader.
	RoleGateway = "gateway"
	// RoleCoordination replicates the log, and schedules jobs while it is the
	// leader.
	RoleCoordination = "coordination"
)

// The values of the setting sharing.
const (
	// SharingNone leaves the sharing between teams to the queues of the catalog.
	SharingNone = "none"
	// SharingFair makes the jobs of all queues take part.
	SharingFair = "fair"
)

// The values of NodeSettings.RunTimes.
const (
	// RunTimesDeclared are the estimates that callers declare.
	RunTimesDeclared = "declared"
	// RunTimesLearned are learned from finished runs, with the paces of workers.
	RunTimesLearned = "learned"
)

// NodeListen holds the addresses that a node listens on in addition to Address.
// Each belongs to one role.
type NodeListen struct {
	// Calls serves the calls of members (gateway role).
	Calls string `json:"calls,omitempty"`
	// Ready serves the readiness check (gateway role).
	Ready string `json:"ready,omitempty"`
	// Control serves the calls of workers and operators (coordination role).
	Control string `json:"control,omitempty"`
}

// NodeBounds holds time limits that the platform guarantees or requires.
type NodeBounds struct {
	// Grace is how long a node may take to stop.
	Grace Duration `json:"grace" validate:"time"`
	// MaxLease is the longest lease of a worker.
	MaxLease Duration `json:"max-lease" validate:"time"`
	// DutyLease is how long a new leader leaves orders about machines to the
	// previous one.
	DutyLease Duration `json:"duty-lease" validate:"time"`
	// StopTime is the longest time that a worker takes to stop a run; empty if it is
	// unknown.
	StopTime Duration `json:"stop-time,omitempty" validate:"omitempty,time"`
	// GangWait is how long a member of a gang waits for the others to start; empty for
	// coordinator.DefaultGangWait.
	GangWait Duration `json:"gang-wait,omitempty" validate:"omitempty,time"`
}

// NodeLog configures the event log.
type NodeLog struct {
	// LinesPerSecond bounds the rate of log lines. Lines over it are dropped and
	// counted.
	LinesPerSecond int `json:"lines-per-second" validate:"min=1,max=100000"`
}

// NodeControl configures the replicated log.
type NodeControl struct {
	HeartbeatInterval Duration `json:"heartbeat-interval" validate:"time"`
	// ElectionTimeout is the least time without a leader before an election.
	ElectionTimeout Duration `json:"election-timeout" validate:"time"`
	// CompactEntries is the number of log entries after which a snapshot is
	// written.
	CompactEntries int `json:"compact-entries" validate:"min=10"`
	// ToleratedLosses is how many voters may fail at once. The log has
	// 2*ToleratedLosses+1 voters.
	ToleratedLosses int `json:"tolerated-losses" validate:"min=0,max=3"`
}

// NodeRequests bounds the requests that a node accepts.
type NodeRequests struct {
	// MaxHeadBytes is the size up to which the head of a request is accepted.
	MaxHeadBytes int `json:"max-head-bytes" validate:"min=1024,max=1048576"`
	// HeadTimeout and BodyTimeout bound how long the head of a request and its body may
	// take to arrive, and AnswerTimeout how long a response may take to be sent.
	HeadTimeout   Duration `json:"head-timeout" validate:"time"`
	BodyTimeout   Duration `json:"body-timeout" validate:"time"`
	AnswerTimeout Duration `json:"answer-timeout" validate:"time"`
}

// NodeSettings holds the whole configuration of a node.
type NodeSettings struct {
	Instance   identifier.InstanceID   `json:"instance" validate:"required"`
	Role       string                  `json:"role" validate:"oneof=gateway coordination"`
	DataCenter identifier.DataCenterID `json:"data-center" validate:"required"`
	Region     identifier.RegionID     `json:"region"`
	// DataCenters names the data centres of the system. Operators may empty them also
	// before a worker has registered there.
	DataCenters []identifier.DataCenterID `json:"data-centers,omitempty" validate:"dive,required"`
	// Address is where this node serves other instances.
	Address string `json:"address" validate:"required,hostname_port"`
	// Seeds are addresses of instances with the coordination role. Only their
	// hosts are used; all instances serve each other on the port of Address.
	Seeds  []string   `json:"seeds" validate:"min=1,dive,hostname_port"`
	Listen NodeListen `json:"listen"`
	// Metrics is an address that serves counters and histograms. If it is empty
	// they are served at Address alone.
	Metrics string `json:"metrics,omitempty" validate:"omitempty,hostname_port"`
	// Bootstrap allows the node to form a new group of the replicated log.
	Bootstrap bool `json:"bootstrap"`
	// DataFolder is where the log is persisted. The coordination role requires
	// it.
	DataFolder string `json:"data-folder,omitempty"`
	// MemoryMiB is the memory that the node may use, in MiB; 0 means no limit.
	MemoryMiB int64 `json:"memory-mib" validate:"min=0"`
	// Descriptors is the number of descriptors that the node may open; 0 means the
	// limit of the process.
	Descriptors int `json:"descriptors" validate:"min=0"`
	// Advice is the address of the advice service; empty if there is none.
	Advice string `json:"advice,omitempty"`
	// Sharing says whether the jobs of all queues take part in the sharing between
	// teams (fair), or only those of queues that ask for it (none).
	Sharing string `json:"sharing" validate:"oneof=none fair"`
	// MachineManager is the address of the machine manager; empty if there is
	// none.
	MachineManager string `json:"machines,omitempty"`
	// RunTimes says which run times the leader plans with.
	RunTimes string       `json:"run-times" validate:"oneof=declared learned"`
	Bounds   NodeBounds   `json:"bounds"`
	Requests NodeRequests `json:"requests"`
	Control  NodeControl  `json:"control"`
	Log      NodeLog      `json:"log"`
}

// reloadable lists the settings that a running node applies.
var reloadable = []string{"seeds", "log", "memory-mib"}

// firstStartOnly lists the settings that matter only at the first start of a node.
var firstStartOnly = []string{"bootstrap"}

// Changes returns the sorted names of the settings in which next differs from s:
// those that a running node applies, and those that need a restart. Settings that
// matter only at the first start are left out.
func (s *NodeSettings) Changes(next *NodeSettings) (applied, restart []string) {
	old, updated := s.fields(), next.fields()
	names := slices.Collect(maps.Keys(old))
	names = slices.AppendSeq(names, maps.Keys(updated))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if bytes.Equal(old[name], updated[name]) || slices.Contains(firstStartOnly, name) {
			continue
		}
		if slices.Contains(reloadable, name) {
			applied = append(applied, name)
			continue
		}
		restart = append(restart, name)
	}
	return applied, restart
}

// fields returns each setting as JSON, by its top-level key.
func (s *NodeSettings) fields() map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	data, err := json.Marshal(s)
	if err != nil {
		return fields
	}
	_ = json.Unmarshal(data, &fields)
	return fields
}

// SeedAddresses returns the hosts of the seeds with the port of Address.
func (s *NodeSettings) SeedAddresses() []string {
	_, port, err := net.SplitHostPort(s.Address)
	if err != nil {
		return nil
	}
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			addresses = append(addresses, net.JoinHostPort(host, port))
		}
	}
	return addresses
}

// LoadNodeFile reads and validates the settings file of a node. Errors wrap
// ErrInvalid.
func LoadNodeFile(path string) (*NodeSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, err, ErrInvalid)
	}
	settings, err := LoadNode(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// LoadNode decodes JSON settings of a node over the defaults and validates them.
// Errors wrap ErrInvalid.
func LoadNode(data []byte) (*NodeSettings, error) {
	settings := DefaultNode()
	if err := decodeStrict(data, settings); err != nil {
		return nil, err
	}
	if err := checkFields(settings); err != nil {
		return nil, err
	}
	if settings.Role == RoleCoordination && settings.DataFolder == "" {
		return nil, fmt.Errorf("key %q: the coordination role needs one: %w", "data-folder", ErrInvalid)
	}
	return settings, nil
}

// DefaultNode returns the default settings of a node. Keys without a default are
// empty and must be set.
func DefaultNode() *NodeSettings {
	return &NodeSettings{
		RunTimes: RunTimesDeclared,
		Bounds:   NodeBounds{Grace: "6s", MaxLease: "6s", DutyLease: "3s"},
		Requests: NodeRequests{MaxHeadBytes: 16 << 10, HeadTimeout: "10s", BodyTimeout: "20s", AnswerTimeout: "10s"},
		Control:  NodeControl{HeartbeatInterval: "120ms", ElectionTimeout: "700ms", CompactEntries: 2000, ToleratedLosses: 1},
		Log:      NodeLog{LinesPerSecond: 800},
		Sharing:  SharingNone,
	}
}
