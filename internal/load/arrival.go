package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Shape names how demand changes over a run.
type Shape string

// Shapes of demand.
const (
	// ShapeSteady keeps the base rate.
	ShapeSteady Shape = "steady"
	// ShapeCrest climbs to the peak rate within a second, holds it and returns.
	ShapeCrest Shape = "crest"
	// ShapeSwing moves between the base and the peak rate like a sine.
	ShapeSwing Shape = "swing"
)

// Times of the shapes.
const (
	// crestLead is the time at the base rate before a crest.
	crestLead = 2 * time.Second
	// crestRamp is the time of the climb and of the return.
	crestRamp = time.Second
	// swingPeriod is the time from one crest of a swing to the next.
	swingPeriod = 4 * time.Second
)

// Profile is demand over time.
type Profile struct {
	Shape Shape
	// Base and Peak are rates in requests per second.
	Base, Peak float64
	// Hold is the time at the peak rate of a crest.
	Hold time.Duration
	// Duration is the length of the run.
	Duration time.Duration
	// Label is part of every unpopular query, so that the runs of a bench have
	// different ones.
	Label string
}

// rate returns the demand at a time since the start, in requests per second.
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

// crestLevel returns the part of the climb that is in force, from 0 to 1, at a
// time since the climb began.
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
	// Route is a permutation of the entries. A request goes to the first; a
	// repeated one goes to the following.
	Route []int
	// Repeat asks for a second use of the permit after the first answer.
	Repeat bool
}

// repeatShare is the part of the at_most_once requests whose permit is used a
// second time.
const repeatShare = 0.25

// popularQueries is the number of different popular queries.
const popularQueries = 50

// Schedule returns the arrivals of a run: a Poisson process whose rate follows
// the profile. The same settings, profile and seed give the same arrivals. At
// most limit arrivals are returned.
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
		// Candidates at the peak rate are thinned to the rate of the moment.
		at += rng.ExpFloat64() / peak
		when := time.Duration(at * float64(time.Second))
		if when >= p.Duration {
			break
		}
		if rng.Float64()*peak >= p.rate(when) {
			continue
		}
		out = append(out, s.arrival(rng, total, when, len(out), p.Label, seed))
	}
	return out
}

func (s *Settings) arrival(rng *rand.Rand, total float64, at time.Duration, sequence int, label string, seed uint64) Arrival {
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
	// Different queries have different results, so that those of another request show.
	a.Query = fmt.Sprintf("item %d of run %s %d", sequence, label, seed)
	if popular := rng.IntN(popularQueries); !w.AtMostOnce && rng.Float64() < w.PopularShare {
		a.Query = fmt.Sprintf("popular item %d", popular)
	}
	a.Repeat = w.AtMostOnce && rng.Float64() < repeatShare
	return a
}
