package homes

const (
	// homePlaces is the part of a target's connection cap that homes share. The others
	// keep the rest for requests that they run themselves.
	homeConnectionFraction = 0.7
	// homeRepeats is the part of the fleet's minimum of repeats that homes share.
	homeRepeatFraction = 0.8
)

// Places returns the part of a target's connection cap that the own entry shares with
// others of its role, and how many of them there are.
func (a *Assignment) SharedConnections(limit int) (places, sharers int) {
	switch {
	case !a.Active():
		return limit, a.Entries
	case a.IsHome:
		return int(homeConnectionFraction * float64(limit)), a.Homes
	}
	return limit - int(homeConnectionFraction*float64(limit)), a.Entries
}

// RepeatPart returns the own entry's part of the fleet's minimum of repeats, from 0 to
// 1. The parts of a fleet add up to 1 at most, also while one home of each zone is
// replaced by another that does not know it yet.
func (a *Assignment) RepeatPart() float64 {
	if !a.Active() {
		return 1 / float64(max(a.Entries, 1))
	}
	part := (1 - homeRepeatFraction) / float64(a.Entries)
	if a.IsHome {
		part += homeRepeatFraction / float64(a.Homes+a.Zones)
	}
	return part
}
