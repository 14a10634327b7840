package homes

const (
	// homeConnectionFraction is the fraction of a target's connection limit that the homes share.
	// The other entries keep the rest for requests that they run themselves.
	homeConnectionFraction = 0.7
	// homeRepeatFraction is the fraction of the fleet's minimum of repeats that the homes share.
	homeRepeatFraction = 0.8
)

// SharedConnections returns how many connections of a target's limit are shared by the entries with
// the own entry's role, and the number of those sharers.
func (a *Assignment) SharedConnections(limit int) (connections, sharers int) {
	switch {
	case !a.Active():
		return limit, a.Entries
	case a.IsHome:
		return int(homeConnectionFraction * float64(limit)), a.Homes
	}
	return limit - int(homeConnectionFraction*float64(limit)), a.Entries
}

// RepeatMinimumFraction returns the own entry's fraction of the fleet's minimum of repeats, from 0
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
