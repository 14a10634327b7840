package engine

import (
	"math"

	"github.com/balsamstall/balsamstall/coordination/admission"
	"github.com/balsamstall/balsamstall/coordination/hedge"
)

// admissionSettings lets the limits fall to one request, because with 9 entries and targets of 3
// slots each entry's share of a service is about one request. So few requests need a short sample
// window.
func admissionSettings() admission.Settings {
	s := admission.DefaultSettings()
	s.MinLimit, s.MinServiceLimit, s.MinSamples = 1, 1, 8
	s.MaxWaitRatio = 0.25 // Absorbs the bursts that small concurrency limits cause.
	return s
}

// hedgeSettings keeps hedge budget in reserve for incidents: at the 98th percentile a healthy
// service spends less than half of the budget that it earns, so that the burst is available when
// targets become slow or a zone is lost.
func hedgeSettings() hedge.Settings {
	s := hedge.DefaultSettings()
	s.Quantile = 0.98
	s.Burst = 100
	return s
}

// slotFactor is the maximum number of sub-requests per slot that all entries together admit. The
// excess over one keeps the slots busy while replies are in transit and leaves headroom for bursts
// and for entries that get more than an even share of the requests; the adaptive limit takes it
// back under overload. At 1.5, 2% of the requests were refused at 40% load; at 3, a load peak lost
// coverage.
const slotFactor = 2.5

// concurrencyShare returns the number of queries, each with one sub-request per shard, that this
// entry may run concurrently on its share of the slots.
func concurrencyShare(slots, shards, entries int) int {
	if shards == 0 {
		return 1
	}
	return max(int(math.Ceil(slotFactor*float64(slots)/float64(shards*entries))), 1)
}

// maxConcurrency returns the limit of running requests of a service, derived from this entry's
// share of the slots of its targets.
func maxConcurrency(svc *CatalogueService, entries int) int {
	if svc.AtMostOnce {
		return svc.MaxConcurrency
	}
	return min(concurrencyShare(svc.Slots, svc.Shards, entries), svc.MaxConcurrency)
}

// maxEntryConcurrency returns the limit of running requests of all services together. Services that
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
	return concurrencyShare(slots, max(shards/services, 1), c.Entries)
}
