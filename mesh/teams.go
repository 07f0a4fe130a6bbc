package mesh

import "time"

// teamCounts are counters of what was booked against a team's limit, which only rise.
// What a node books counts for all nodes until it is refunded, so that a refund that is
// lost, or not known to another build, is on the safe side.
type teamCounts struct {
	// Booked is the total that was booked, Returned the part of it that was refunded.
	Booked, Returned uint64
	// ReturnedDelay is the sum over the refunds of the amount times the milliseconds
	// since its booking.
	ReturnedDelay uint64
}

func (c teamCounts) plus(d teamCounts) teamCounts {
	return teamCounts{c.Booked + d.Booked, c.Returned + d.Returned, c.ReturnedDelay + d.ReturnedDelay}
}

// since returns what was added to earlier counters. A counter that has fallen counts as
// unchanged.
func (c teamCounts) since(earlier teamCounts) teamCounts {
	return teamCounts{
		Booked:        c.Booked - min(c.Booked, earlier.Booked),
		Returned:      c.Returned - min(c.Returned, earlier.Returned),
		ReturnedDelay: c.ReturnedDelay - min(c.ReturnedDelay, earlier.ReturnedDelay),
	}
}

// net returns the counts less what was both booked and refunded.
func (c teamCounts) net() teamCounts {
	both := min(c.Booked, c.Returned)
	delay := uint64(c.meanDelay().Milliseconds())
	return teamCounts{Booked: c.Booked - both, Returned: c.Returned - both, ReturnedDelay: (c.Returned - both) * delay}
}

// boundReturned returns the counts with no more refunded than booked. A feed that replaces
// another one may repeat some of its last counts: bookings that count twice then make up
// for the refunds that do, so that a team gets nothing by them.
func (c teamCounts) boundReturned() teamCounts {
	if c.Returned <= c.Booked {
		return c
	}
	delay := uint64(c.meanDelay().Milliseconds())
	return teamCounts{Booked: c.Booked, Returned: c.Booked, ReturnedDelay: c.Booked * delay}
}

// maxReturnDelay bounds the time between a booking and its refund that is believed; a
// longer one is longer than any window.
const maxReturnDelay = time.Hour

// meanDelay returns the mean time between the bookings and their refunds.
func (c teamCounts) meanDelay() time.Duration {
	if c.Returned == 0 {
		return 0
	}
	return time.Duration(min(c.ReturnedDelay/c.Returned, uint64(maxReturnDelay.Milliseconds()))) * time.Millisecond
}

// Book publishes that this node booked an amount for a team. level is the
// remaining amount as this node estimates it, nil if unknown.
func (m *Manager) Book(team string, amount float64, level *int64) {
	m.addTeam(team, teamCounts{Booked: uint64(amount)}, level)
}

// BookReturn publishes that this node refunded an amount that it had booked for a team
// some time before.
func (m *Manager) BookReturn(team string, amount float64, delay time.Duration, level *int64) {
	m.addTeam(team, teamCounts{Returned: uint64(amount), ReturnedDelay: uint64(amount) * uint64(max(0, delay.Milliseconds()))}, level)
}

func (m *Manager) addTeam(team string, counts teamCounts, level *int64) {
	m.nodeSums.addTeam(team, counts, level)
	m.zoneSums.addTeam(team, counts, level)
	m.changed.broadcast()
}

// notifyTeam notifies the listener of what a source has booked and refunded for a team.
// over is the time for which the source was silent, or 0. What it then both booked and
// refunded used nothing of what was left to it meanwhile.
func (m *Manager) notifyTeam(team string, counts teamCounts, level *int64, over time.Duration) {
	if over > 0 {
		counts = counts.net()
	}
	bookedLevel := level
	if counts.Returned > 0 {
		// The level includes the refunds.
		bookedLevel = nil
	}
	if counts.Booked > 0 {
		m.notify(func(l Listener) { l.Booked(team, float64(counts.Booked), bookedLevel, over) })
	}
	if counts.Returned > 0 {
		m.notify(func(l Listener) { l.Returned(team, float64(counts.Returned), counts.meanDelay(), level) })
	}
}
