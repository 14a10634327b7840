package homes

const (
	// homeConnectionFraction is the fraction of a target's connection limit that the homes share.
	// The other entries keep the rest for requests that they run themselves.
	homeConnectionFraction = 0.7
	// homeRepeatFraction is the fraction of retrybudget.FleetSettings.Minimum that the homes share.
	homeRepeatFraction = 0.8
)

// SharedConnections returns the part of a target's connection limit that this entry shares with
// others, and the number of entries to divide it by: the number of homes for a home, otherwise the
// number of all entries.
func (a *Assignment) SharedConnections(limit int) (connections, sharers int) {
	switch {
	case !a.Active():
		return limit, a.Entries
	case a.IsHome:
		return int(homeConnectionFraction * float64(limit)), a.Homes
	}
	return limit - int(homeConnectionFraction*float64(limit)), a.Entries
}

// RepeatMinimumFraction returns this entry's fraction of retrybudget.FleetSettings.Minimum, from 0
// to 1. The fractions of all entries add up to at most 1, even while one home of each zone is
// replaced and both the old and the new home consider themselves homes.
func (a *Assignment) RepeatMinimumFraction() float64 {
	if !a.Active() {
		return 1 / float64(max(a.Entries, 1))
	}
	fraction := (1 - homeRepeatFraction) / float64(a.Entries)
	if a.IsHome {
		fraction += homeRepeatFraction / float64(a.Homes+a.Zones)
	}
	return fraction
}
