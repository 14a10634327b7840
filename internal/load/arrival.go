package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Shape is the shape of the demand over a run.
type Shape string

// Shapes of demand.
const (
	// ShapeSteady keeps the base rate.
	ShapeSteady Shape = "steady"
	// ShapeCrest rises from the base to the peak rate within a second, holds it and falls back.
	ShapeCrest Shape = "crest"
	// ShapeSwing is a sine wave between the base and the peak rate.
	ShapeSwing Shape = "swing"
)

// Timing of the shapes.
const (
	// crestLead is the time at the base rate before a crest.
	crestLead = 2 * time.Second
	// crestRamp is the duration of the rise and of the fall.
	crestRamp = time.Second
	// swingPeriod is the period of the sine wave.
	swingPeriod = 4 * time.Second
)

// Profile is the demand over time.
type Profile struct {
	Shape Shape
	// Base and Peak are rates in requests per second.
	Base, Peak float64
	// Hold is the time at the peak rate of a crest.
	Hold time.Duration
	// Duration is the length of the run.
	Duration time.Duration
	// Label is part of every query that is not popular, so that the runs of a bench send
	// different queries.
	Label string
}

// rate returns the demand, in requests per second, at a time since the start of the run.
func (p Profile) rate(at time.Duration) float64 {
	switch p.Shape {
	case ShapeCrest:
		return p.Base + (p.Peak-p.Base)*crestLevel(at-crestLead, p.Hold)
	case ShapeSwing:
		angle := 2 * math.Pi * at.Seconds() / swingPeriod.Seconds()
		return p.Base + (p.Peak-p.Base)*(1-math.Cos(angle))/2
	default:
		return p.Base
	}
}

// crestLevel returns the level of a crest between the base rate (0) and the peak rate (1) at a time
// since the rise began.
func crestLevel(at, hold time.Duration) float64 {
	down := at - crestRamp - hold
	switch {
	case at <= 0 || down >= crestRamp:
		return 0
	case at < crestRamp:
		return at.Seconds() / crestRamp.Seconds()
	case down <= 0:
		return 1
	default:
		return 1 - down.Seconds()/crestRamp.Seconds()
	}
}

// Arrival is one request of a schedule.
type Arrival struct {
	// At is the intended send time since the start of the run.
	At       time.Duration
	Sequence int
	Caller   Caller
	Workload Workload
	Query    string
	// Route is a permutation of the entries. The first send goes to the first entry, each further
	// send to the next one.
	Route []int
	// Repeat asks for a second use of the permit after the first answer.
	Repeat bool
}

// repeatFraction is the fraction of the at_most_once requests whose permit is used a second time.
const repeatFraction = 0.25

// popularQueries is the number of distinct popular queries.
const popularQueries = 50

// Schedule returns the arrivals of a run: a Poisson process whose rate follows the profile. The
// same settings, profile and seed give the same arrivals. It returns at most limit arrivals.
func (s *Settings) Schedule(p Profile, seed uint64, limit int) []Arrival {
	rng := rand.New(rand.NewPCG(seed, uint64(len(p.Shape))))
	peak := max(p.Base, p.Peak)
	if p.Shape == ShapeSteady {
		peak = p.Base
	}
	total := 0.0
	for _, w := range s.Workload {
		total += w.Weight
	}
	if peak <= 0 || total <= 0 {
		return nil
	}
	var out []Arrival
	for at := 0.0; len(out) < limit; {
		// Thin a process at the peak rate to the current rate.
		at += rng.ExpFloat64() / peak
		when := time.Duration(at * float64(time.Second))
		if when >= p.Duration {
			break
		}
		if rng.Float64()*peak >= p.rate(when) {
			continue
		}
		out = append(out, s.newArrival(rng, total, when, len(out), p.Label, seed))
	}
	return out
}

func (s *Settings) newArrival(rng *rand.Rand, total float64, at time.Duration, sequence int, label string, seed uint64) Arrival {
	pick := rng.Float64() * total
	w := s.Workload[len(s.Workload)-1]
	for _, candidate := range s.Workload {
		if pick < candidate.Weight {
			w = candidate
			break
		}
		pick -= candidate.Weight
	}
	name := w.Callers[rng.IntN(len(w.Callers))]
	a := Arrival{At: at, Sequence: sequence, Workload: w, Route: rng.Perm(len(s.Entries))}
	for _, c := range s.Callers {
		if c.Name == name {
			a.Caller = c
		}
	}
	// Distinct queries have distinct results, so that results of another request are detected.
	a.Query = fmt.Sprintf("item %d of run %s %d", sequence, label, seed)
	if popular := rng.IntN(popularQueries); !w.AtMostOnce && rng.Float64() < w.PopularShare {
		a.Query = fmt.Sprintf("popular item %d", popular)
	}
	a.Repeat = w.AtMostOnce && rng.Float64() < repeatFraction
	return a
}
