package estimator

const (
	// DefaultMaxGroups bounds the groups.
	DefaultMaxGroups = 512
	// DefaultMaxMachines bounds the machines.
	DefaultMaxMachines = 4096
	// DefaultMaxSteps bounds the steps.
	DefaultMaxSteps = 2048
)

type options struct {
	maxGroups   int
	maxMachines int
	maxSteps    int
}

// Option changes a setting of an Estimator.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{maxGroups: DefaultMaxGroups, maxMachines: DefaultMaxMachines, maxSteps: DefaultMaxSteps}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// MaxGroups bounds the groups; the least recently used is evicted first.
func MaxGroups(n int) Option { return func(o *options) { o.maxGroups = max(1, n) } }

// MaxMachines bounds the machines; the least recently used is evicted first.
func MaxMachines(n int) Option { return func(o *options) { o.maxMachines = max(1, n) } }

// MaxSteps bounds the steps; the least recently used is evicted first.
func MaxSteps(n int) Option { return func(o *options) { o.maxSteps = max(1, n) } }
