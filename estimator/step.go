package estimator

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// censoredVariance is the variance of the work of a run that was cut short, as a
// lower bound.
const censoredVariance = 4 * stepVariance

// evidence is the weighted mean of the logarithm of the work of some runs, in units of
// paceUnit, and its precision (the inverse of the variance).
type evidence struct{ mean, precision int32 }

// maxPrecision makes later runs of a wide step count for at least a tenth or so, in
// case its tasks are not alike after all.
const maxPrecision = 400

// add returns the evidence of both.
func (v evidence) add(other evidence) evidence {
	precision := v.precision + other.precision
	if precision == 0 {
		return evidence{}
	}
	mean := (int64(v.mean)*int64(v.precision) + int64(other.mean)*int64(other.precision)) / int64(precision)
	return evidence{mean: int32(mean), precision: min(precision, maxPrecision)}
}

// step holds what is known of the work of a step's tasks.
type step struct {
	// finished counts the finished tasks, or for a gang those since it was last whole.
	finished int32
	// last is the evidence of the machine of the latest run, whose hash is lastMachine,
	// and others that of all others: a machine must not be compared with itself.
	lastMachine uint32
	last        evidence
	others      evidence
	// slowest is the lowest relative pace of the members of a gang, in units of paceUnit.
	slowest int32
}

// from returns the evidence of runs on other machines.
func (s *step) from(machine uint32) evidence {
	if machine != 0 && s.lastMachine == machine {
		return s.others
	}
	return s.all()
}

func (s *step) all() evidence { return s.others.add(s.last) }

// add adds a run's work.
func (s *step) add(machine uint32, work, variance float64) {
	if machine == 0 || s.lastMachine != machine {
		s.others, s.last, s.lastMachine = s.all(), evidence{}, machine
	}
	s.last = s.last.add(evidence{mean: scaled(work, paceUnit), precision: max(1, int32(1/variance))})
}

// blend combines a prior estimate of the work with a step's evidence. If they differ
// by more than two standard deviations, the step is probably one of the long ones, and
// the prior counts less.
func blend(prior estimate, of evidence) estimate {
	if of.precision == 0 {
		return prior
	}
	mean, variance := float64(of.mean)*paceUnit, 1/float64(of.precision)
	if excess := square(mean-prior.mean) - 4*(prior.variance+variance); excess > 0 {
		prior.variance += excess
	}
	share := prior.variance / (prior.variance + variance)
	return estimate{mean: prior.mean + share*(mean-prior.mean), variance: share * variance}
}

// stepKey returns the hash by which a step is found, so that its name need not be
// held. It has 53 bits, which all JSON decoders represent exactly.
func stepKey(g Group, name string) uint64 {
	key := xxhash.Sum64String(name)
	key ^= bits.RotateLeft64(xxhash.Sum64String(g.Queue), 21)
	return (key ^ bits.RotateLeft64(xxhash.Sum64String(g.Image), 42)) >> 11
}

// machineKey returns a hash that is not 0, and 0 for an unknown machine.
func machineKey(name string) uint32 {
	if name == "" {
		return 0
	}
	return max(1, uint32(xxhash.Sum64String(name)))
}
