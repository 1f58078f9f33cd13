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
	// RoleGateway takes calls of members and brings them to the leader.
	RoleGateway = "gateway"
	// RoleCoordination holds the log, and schedules where it leads.
	RoleCoordination = "coordination"
)

// NodeListen are the addresses on which others reach a node.
type NodeListen struct {
	// Calls takes the calls of members.
	Calls string `json:"calls,omitempty"`
	// Ready answers whether the node takes calls.
	Ready string `json:"ready,omitempty"`
	// Control takes the calls of workers and operators.
	Control string `json:"control,omitempty"`
}

// NodeBounds are times that the surroundings promise or ask for.
type NodeBounds struct {
	// Grace is the time that a node has to end.
	Grace Duration `json:"grace" validate:"time"`
	// MaxLease bounds a worker's lease.
	MaxLease Duration `json:"max-lease" validate:"time"`
	// DutyLease is the time for which orders about machines belong to one
	// instance.
	DutyLease Duration `json:"duty-lease" validate:"time"`
}

// NodeLog bounds the log of events.
type NodeLog struct {
	LinesPerSecond int `json:"lines-per-second" validate:"min=1,max=100000"`
}

// NodeControl tunes the replicated log.
type NodeControl struct {
	HeartbeatInterval Duration `json:"heartbeat-interval" validate:"time"`
	ElectionTimeout   Duration `json:"election-timeout" validate:"time"`
	CompactEntries    int      `json:"compact-entries" validate:"min=10"`
	// ToleratedLosses is how many voters may be lost at once.
	ToleratedLosses int `json:"tolerated-losses" validate:"min=0,max=3"`
}

// NodeSettings are all that a node has to know.
type NodeSettings struct {
	Instance   identifier.InstanceID   `json:"instance" validate:"required"`
	Role       string                  `json:"role" validate:"oneof=gateway coordination"`
	DataCenter identifier.DataCenterID `json:"data-center" validate:"required"`
	Region     identifier.RegionID     `json:"region"`
	// Address is where other instances reach this one.
	Address string `json:"address" validate:"required,hostname_port"`
	// Seeds are addresses of instances with the coordination role. Only the
	// host counts; all instances use the port of Address.
	Seeds  []string   `json:"seeds" validate:"min=1,dive,hostname_port"`
	Listen NodeListen `json:"listen"`
	// Metrics is where counters and histograms are read; empty if only other
	// instances read them, at Address.
	Metrics string `json:"metrics,omitempty" validate:"omitempty,hostname_port"`
	// Bootstrap allows a new group of the log.
	Bootstrap  bool   `json:"bootstrap"`
	DataFolder string `json:"data-folder,omitempty"`
	MemoryMiB  int64  `json:"memory-mib" validate:"min=0"`
	// Advice is where advice is asked for; empty if there is none.
	Advice string `json:"advice,omitempty"`
	// MachineManager is where the keeper of the machines is; empty if there is none.
	MachineManager string      `json:"machines,omitempty"`
	Bounds         NodeBounds  `json:"bounds"`
	Control        NodeControl `json:"control"`
	Log            NodeLog     `json:"log"`
}

// reloadable are the settings that a running node takes over.
var reloadable = []string{"seeds", "log", "memory-mib"}

// firstStartOnly are settings that matter at the first start alone.
var firstStartOnly = []string{"bootstrap"}

// Changes returns the names of the settings in which next differs, in order:
// those that a running node takes over, and those that need a restart.
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

// fields returns each setting as JSON, by its name.
func (s *NodeSettings) fields() map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	data, err := json.Marshal(s)
	if err != nil {
		return fields
	}
	_ = json.Unmarshal(data, &fields)
	return fields
}

// SeedAddresses returns where the seeds are reached by other instances.
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

// LoadNodeFile reads and checks the settings file of a node. Errors wrap
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

// LoadNode reads and checks settings on top of the defaults.
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

// DefaultNode returns the defaults. What has none stays empty and has to be
// set.
func DefaultNode() *NodeSettings {
	return &NodeSettings{
		Bounds:  NodeBounds{Grace: "6s", MaxLease: "6s", DutyLease: "3s"},
		Control: NodeControl{HeartbeatInterval: "120ms", ElectionTimeout: "700ms", CompactEntries: 2000, ToleratedLosses: 1},
		Log:     NodeLog{LinesPerSecond: 400},
	}
}
