package mesh

// SetTarget publishes this node's use of a target.
func (m *Manager) SetTarget(id string, use TargetUse) {
	m.nodeSums.setTarget(id, use)
	m.mu.Lock()
	m.sumTarget(id)
	m.mu.Unlock()
	m.changed.broadcast()
}

// SetQueue publishes how many requests of a queue wait at this node.
func (m *Manager) SetQueue(q Queue, waiting int) {
	m.nodeSums.setQueue(q, waiting)
	m.mu.Lock()
	m.sumQueue(q)
	m.mu.Unlock()
	m.changed.broadcast()
}

// SetShare publishes the work of a team at this node.
func (m *Manager) SetShare(k ShareKey, share Share) {
	m.nodeSums.setShare(k, share)
	m.mu.Lock()
	m.sumShare(k)
	m.mu.Unlock()
	m.changed.broadcast()
}

// sumTarget sums a target's use over this zone. The lock must be held.
func (m *Manager) sumTarget(id string) {
	m.nodeSums.mu.Lock()
	total := m.nodeSums.targets[id].value
	m.nodeSums.mu.Unlock()
	for _, s := range m.nodes {
		if s.active == nil || m.member {
			continue
		}
		u := s.active.targets[id]
		total.Requests += u.Requests
		total.PromptTokens += u.PromptTokens
		total.StepMicros = max(total.StepMicros, u.StepMicros)
		total.LimitMillis = lowestLimit(total.LimitMillis, u.LimitMillis)
		total.Brittle = total.Brittle || u.Brittle
		total.MemoryTokens += u.MemoryTokens
		total.Report = latestReport(total.Report, u.Report)
	}
	m.zoneSums.setTarget(id, total)
}

// sumQueue sums a queue's length over this zone. The lock must be held.
func (m *Manager) sumQueue(q Queue) {
	m.nodeSums.mu.Lock()
	total := m.nodeSums.queues[q].value
	m.nodeSums.mu.Unlock()
	for _, s := range m.nodes {
		if s.active != nil && !m.member {
			total += s.active.queues[q]
		}
	}
	m.zoneSums.setQueue(q, total)
}

// sumShare sums the work of a team over this zone. The lock must be held.
func (m *Manager) sumShare(k ShareKey) {
	m.nodeSums.mu.Lock()
	total := m.nodeSums.shares[k].value
	m.nodeSums.mu.Unlock()
	for _, s := range m.nodes {
		if s.active == nil || m.member {
			continue
		}
		share := s.active.shares[k]
		total.GrantedMillis += share.GrantedMillis
		total.WaitingMillis += share.WaitingMillis
	}
	m.zoneSums.setShare(k, total)
}
