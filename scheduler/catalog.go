package scheduler

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// ErrInvalidCatalog reports a catalog that can't take effect.
var ErrInvalidCatalog = eris.New("catalog is invalid")

// Advice says that a policy outside the system chooses the workers of a queue.
type Advice struct {
	// A request takes DecideMillis, and PeriodMillis more for each worker that it names.
	DecideMillis int64 `json:"decide-ms"`
	PeriodMillis int64 `json:"period-ms"`
	// ValidMillis is how long the tickets of a response are valid.
	ValidMillis int64 `json:"valid-ms"`
}

// Queue accepts jobs at an address.
type Queue struct {
	Name QueueName `json:"name"`
	// Host and PathPrefix form the queue's address.
	Host       string   `json:"host"`
	PathPrefix string   `json:"path-prefix"`
	Pool       PoolName `json:"worker-pool"`
	// Priority orders queues; lower values come first. Jobs of priority 0 may
	// preempt others.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"max-attempts"`
	// Stretch and ObjectiveMillis set the time in which a job should complete:
	// Stretch times the job's critical path, plus ObjectiveMillis.
	Stretch         float64 `json:"stretch"`
	ObjectiveMillis int64   `json:"objective-ms"`
	// TimeoutMillis must be positive and is not used otherwise.
	TimeoutMillis int64 `json:"timeout-ms"`
	// Open lets callers submit jobs without a key.
	Open   bool    `json:"open"`
	Advice *Advice `json:"advice,omitempty"`
	// FairShare says that the queue's jobs take part in the sharing between teams.
	FairShare bool `json:"fair-share,omitempty"`
}

// Pool is a group of workers.
type Pool struct {
	Name PoolName `json:"name"`
	// EnforcesCapacity says that the workers refuse runs that exceed their
	// capacity. All others get new runs only while their reports are recent.
	EnforcesCapacity bool `json:"guards-capacity"`
	// Standby is accepted but not used.
	Standby bool `json:"standby"`
}

// Team is a customer with keys and a guarantee.
type Team struct {
	Name identifier.TeamID `json:"name"`
	Keys []string          `json:"keys"`
	// Priority is accepted but not used.
	Priority int `json:"priority"`
	// Guarantee is what the team's jobs of priority 0 are guaranteed. A resource
	// left at 0 is not limited; if all are 0, there is no guarantee.
	Guarantee Resources `json:"guarantee"`
	// Weight divides the team's share where teams compete; nil means 1.
	Weight *float64 `json:"weight,omitempty"`
}

// Catalog holds the operators' lists of queues, pools and teams. The catalog
// with the highest version takes effect.
type Catalog struct {
	Version uint64  `json:"version"`
	Queues  []Queue `json:"queues"`
	Pools   []Pool  `json:"pools"`
	Teams   []Team  `json:"teams"`
}

type catalogDocument struct {
	Version *uint64  `json:"version"`
	Queues  *[]Queue `json:"queues"`
	Pools   *[]Pool  `json:"pools"`
	Teams   []Team   `json:"teams"`
}

// ParseCatalog decodes and checks a catalog. Its error wraps ErrInvalidCatalog and
// names the violated rule.
func ParseCatalog(document []byte) (Catalog, error) {
	catalog, err := restoreCatalog(document)
	if err != nil {
		return Catalog{}, err
	}
	if err := catalog.checkWeights(); err != nil {
		return Catalog{}, fmt.Errorf("version %d: %v: %w", catalog.Version, err, ErrInvalidCatalog)
	}
	return catalog, nil
}

// restoreCatalog decodes a catalog that an earlier version, which did not check
// weights, may have accepted. A weight out of range then counts as 1.
func restoreCatalog(document []byte) (Catalog, error) {
	var decoded catalogDocument
	decoder := json.NewDecoder(bytes.NewReader(document))
	if err := decoder.Decode(&decoded); err != nil {
		return Catalog{}, fmt.Errorf("%v: %w", err, ErrInvalidCatalog)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Catalog{}, fmt.Errorf("data behind the end: %w", ErrInvalidCatalog)
	}
	if decoded.Version == nil || decoded.Queues == nil || decoded.Pools == nil {
		return Catalog{}, fmt.Errorf("version, queues or pools are missing: %w", ErrInvalidCatalog)
	}
	catalog := Catalog{Version: *decoded.Version, Queues: *decoded.Queues, Pools: *decoded.Pools, Teams: decoded.Teams}
	if err := catalog.check(); err != nil {
		return Catalog{}, fmt.Errorf("version %d: %v: %w", catalog.Version, err, ErrInvalidCatalog)
	}
	return catalog, nil
}

func (c *Catalog) check() error {
	if c.Version == 0 {
		return eris.New("version is 0")
	}
	if err := c.checkQueues(); err != nil {
		return err
	}
	return c.checkKeys()
}

func (c *Catalog) checkQueues() error {
	addresses := map[string]QueueName{}
	names := map[QueueName]bool{}
	for i := range c.Queues {
		queue := &c.Queues[i]
		address := strings.ToLower(queue.Host) + queue.PathPrefix
		if taken, found := addresses[address]; found {
			return eris.Errorf("queues %q and %q share the address %q", taken, queue.Name, address)
		}
		addresses[address] = queue.Name
		switch {
		case queue.Name == "" || names[queue.Name]:
			return eris.Errorf("queue name %q is empty or taken", queue.Name)
		case c.Pool(queue.Pool) == nil:
			return eris.Errorf("queue %q names the unknown pool %q", queue.Name, queue.Pool)
		case queue.TimeoutMillis <= 0:
			return eris.Errorf("queue %q has the timeout %d", queue.Name, queue.TimeoutMillis)
		case queue.MaxAttempts < 0 || queue.Priority < 0 || queue.Stretch < 0:
			return eris.Errorf("queue %q has a negative limit", queue.Name)
		}
		names[queue.Name] = true
	}
	return nil
}

func (c *Catalog) checkKeys() error {
	owners := map[string]identifier.TeamID{}
	for _, team := range c.Teams {
		for _, key := range team.Keys {
			if owner, taken := owners[key]; taken && owner != team.Name {
				return eris.Errorf("teams %q and %q share a key", owner, team.Name)
			}
			owners[key] = team.Name
		}
	}
	return nil
}

// Pool returns a pool by name, or nil if there is none.
func (c *Catalog) Pool(name PoolName) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i]
		}
	}
	return nil
}

// Queue returns a queue by name, or nil if there is none.
func (c *Catalog) Queue(name QueueName) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// MatchQueue returns the queue with the longest address that matches host and
// path, and the rest of the path. It ignores a port in host and returns nil if
// no queue matches.
func (c *Catalog) MatchQueue(host, path string) (*Queue, string) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	var best *Queue
	for i := range c.Queues {
		queue := &c.Queues[i]
		if !strings.EqualFold(queue.Host, host) || !strings.HasPrefix(path, queue.PathPrefix) {
			continue
		}
		if best == nil || len(queue.PathPrefix) > len(best.PathPrefix) {
			best = queue
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.PathPrefix):]
}

// TeamByKey returns the team that holds a key.
func (c *Catalog) TeamByKey(key string) (identifier.TeamID, bool) {
	if key == "" {
		return "", false
	}
	for i := range c.Teams {
		for _, own := range c.Teams[i].Keys {
			if own == key {
				return c.Teams[i].Name, true
			}
		}
	}
	return "", false
}

// Guarantee returns the resources guaranteed to a team.
func (c *Catalog) Guarantee(name identifier.TeamID) Resources {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return c.Teams[i].Guarantee
		}
	}
	return Resources{}
}
