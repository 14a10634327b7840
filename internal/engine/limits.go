package engine

import (
	"math"

	"github.com/balsamstall/balsamstall/coordination/admission"
	"github.com/balsamstall/balsamstall/coordination/hedge"
)

// admissionSettings lets the limits fall to one request: with 9 entries and
// targets of 3 slots an entry's part of a service is about one request. So few
// requests need a short window of samples.
func admissionSettings() admission.Settings {
	s := admission.DefaultSettings()
	s.MinLimit, s.MinServiceLimit, s.MinSamples = 1, 1, 8
	s.MaxWaitRatio = 0.25 // Covers the bursts of small concurrency limits.
	return s
}

// hedgeSettings keeps budget for moments of trouble: at the 98th percentile a calm
// service spends less than half of what it earns, so that the burst is available
// when targets turn slow or a zone is lost.
func hedgeSettings() hedge.Settings {
	s := hedge.DefaultSettings()
	s.Quantile = 0.98
	s.Burst = 100
	return s
}

// slotFactor is the number of sub-requests per slot that the entries together
// admit at most. The part above one keeps the slots busy while replies travel and
// leaves room for bursts and for entries that get more than an even part of the
// requests; the adaptive limit takes it back under overload. At 1.5, 2% of the
// requests were refused at 40% load; at 3 a crest lost coverage.
const slotFactor = 2.5

// shareOf returns how many queries of the given number of sub-requests this
// entry may run at once on its part of the slots.
func shareOf(slots, shards, entries int) int {
	if shards == 0 {
		return 1
	}
	return max(int(math.Ceil(slotFactor*float64(slots)/float64(shards*entries))), 1)
}

// maxConcurrency bounds the running requests of a service by this entry's part
// of its targets' slots.
func maxConcurrency(svc *CatalogueService, entries int) int {
	if svc.AtMostOnce {
		return svc.MaxConcurrency
	}
	return min(shareOf(svc.Slots, svc.Shards, entries), svc.MaxConcurrency)
}

// maxEntryConcurrency bounds the running requests of all services. Services that
// share targets share the slots.
func maxEntryConcurrency(c *Catalogue) int {
	slots, shards, services := 0, 0, 0
	for i := range c.Targets {
		slots += c.Targets[i].Slots
	}
	for i := range c.Services {
		if svc := &c.Services[i]; svc.Shards > 0 && !svc.AtMostOnce {
			shards += svc.Shards
			services++
		}
	}
	if services == 0 {
		return int(admission.DefaultSettings().MaxLimit)
	}
	return shareOf(slots, max(shards/services, 1), c.Entries)
}
