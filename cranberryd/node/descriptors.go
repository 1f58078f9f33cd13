package node

import (
	"net"
	"slices"

	"golang.org/x/sys/unix"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/budgeter"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/platform"
)

// The purposes of a node's connections.
const (
	// purposePolls and purposeOrders are the connections to workers, one each a
	// worker.
	purposePolls  budgeter.Purpose = "polls"
	purposeOrders budgeter.Purpose = "orders"
	// purposeControl are the connections of workers and operators.
	purposeControl budgeter.Purpose = "control"
	// purposeCalls are the connections of other instances that forward calls, and
	// of members at a gateway.
	purposeCalls budgeter.Purpose = "calls"
	// purposeInstances are the connections to other instances.
	purposeInstances budgeter.Purpose = "instances"
	// purposeMetrics are the connections of those who read metrics and readiness.
	purposeMetrics budgeter.Purpose = "metrics"
)

var purposes = []budgeter.Purpose{purposePolls, purposeOrders, purposeControl, purposeCalls, purposeInstances, purposeMetrics}

// descriptorShares holds the share of each purpose in the descriptors, in percent.
// What remains is the reserve of peers, the log and other files.
var descriptorShares = map[string]map[budgeter.Purpose]int{
	loader.RoleCoordination: {
		purposePolls: 32, purposeOrders: 20, purposeControl: 18, purposeCalls: 16, purposeInstances: 3, purposeMetrics: 1,
	},
	loader.RoleGateway: {purposeCalls: 75, purposeInstances: 10, purposeMetrics: 5},
}

const (
	// foreignDescriptors are those that the platform or the runtime may use beside
	// connections and the files of the log.
	foreignDescriptors = 200
	// minDescriptors is the least number that is divided.
	minDescriptors = 256
	// maxDialling bounds the dials for one purpose at one time.
	maxDialling = 64
	// unlimitedDescriptors is used if the system states no limit.
	unlimitedDescriptors = 1 << 20
	// idlePercent is the part of a share that idle connections may hold, so that
	// others can be opened.
	idlePercent = 92
	// connsPerInstance bounds the connections to one other instance.
	connsPerInstance = 8
)

// descriptorLimit returns the limit of the settings, or else that of the process.
func descriptorLimit(settings *loader.NodeSettings) int {
	if settings.Descriptors > 0 {
		return settings.Descriptors
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > unlimitedDescriptors {
		return unlimitedDescriptors
	}
	return int(limit.Cur)
}

// newBudgeter divides the descriptors of a node and bounds the memory of requests.
func newBudgeter(settings *loader.NodeSettings) *budgeter.Budgeter {
	total := max(descriptorLimit(settings)-foreignDescriptors, minDescriptors)
	shares := map[budgeter.Purpose]budgeter.Share{}
	for purpose, percent := range descriptorShares[settings.Role] {
		shares[purpose] = budgeter.Share{Open: total * percent / 100, Dialling: maxDialling}
	}
	b := budgeter.New(shares)
	b.SetMemory(requestMemory(settings))
	return b
}

// workerConnections returns how a client opens connections to workers.
func (p *components) workerConnections() platform.Connections {
	dial := func(purpose budgeter.Purpose) messenger.Dial {
		return messenger.Dial(p.budgeter.Dial(purpose, budgeter.Dial(p.deps.Dial)))
	}
	return platform.Connections{
		Polls: dial(purposePolls), Orders: dial(purposeOrders), Services: p.deps.Dial,
		IdlePolls: p.idleConnections(purposePolls), IdleOrders: p.idleConnections(purposeOrders),
	}
}

// idleConnections returns how many idle connections a purpose may hold, so that others
// can be opened.
func (p *components) idleConnections(purpose budgeter.Purpose) int {
	return max(1, p.budgeter.Usage(purpose).Limit*idlePercent/100)
}

// isPeer reports whether a connection comes from the host of an instance that
// replicates the log, whose messages always get through.
func (p *components) isPeer(remote net.Addr) bool {
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil || p.peers == nil {
		return false
	}
	return slices.ContainsFunc(p.peers(), func(address string) bool {
		peer, _, err := net.SplitHostPort(address)
		return err == nil && peer == host
	})
}

// descriptorUsage returns the use of each share, for the metrics.
func (p *components) descriptorUsage() any {
	var usage []budgeter.Usage
	for _, purpose := range purposes {
		if of := p.budgeter.Usage(purpose); of.Limit > 0 {
			usage = append(usage, of)
		}
	}
	return usage
}
