package member

import "slices"

// liveLists holds the sorted names of the hosts that are not considered dead. They are
// read for every message that goes to a few random peers. The lists are updated
// incrementally: rebuilding them after each change took 22 % of the processor time when a
// fleet of 354 hosts started at once.
type liveLists struct {
	// ownDC is this host's data centre.
	ownDC string
	// local holds the hosts of this data centre.
	local []string
	// remote holds one list for each other data centre with a live host. remoteDCs holds
	// the names of these data centres in the same order, sorted.
	remote    [][]string
	remoteDCs []string
}

// update adds a member to its list, moves it or removes it, depending on its status and
// data centre.
func (l *liveLists) update(m *Member) {
	live := m.Status != Dead
	if m.listed && (!live || m.listedDC != m.DC) {
		l.removeMember(m)
	}
	if live && !m.listed {
		l.add(m.Host, m.DC)
		m.listed, m.listedDC = true, m.DC
	}
}

// removeMember removes a member from the lists.
func (l *liveLists) removeMember(m *Member) {
	if m.listed {
		l.remove(m.Host, m.listedDC)
		m.listed = false
	}
}

func (l *liveLists) add(host, dc string) {
	if dc == l.ownDC {
		l.local = insertSorted(l.local, host)
		return
	}
	i, found := slices.BinarySearch(l.remoteDCs, dc)
	if !found {
		l.remoteDCs = slices.Insert(l.remoteDCs, i, dc)
		l.remote = slices.Insert(l.remote, i, nil)
	}
	l.remote[i] = insertSorted(l.remote[i], host)
}

func (l *liveLists) remove(host, dc string) {
	if dc == l.ownDC {
		l.local = removeSorted(l.local, host)
		return
	}
	i, found := slices.BinarySearch(l.remoteDCs, dc)
	if !found {
		return
	}
	l.remote[i] = removeSorted(l.remote[i], host)
	if len(l.remote[i]) == 0 {
		l.remoteDCs = slices.Delete(l.remoteDCs, i, i+1)
		l.remote = slices.Delete(l.remote, i, i+1)
	}
}

func insertSorted(sorted []string, host string) []string {
	i, found := slices.BinarySearch(sorted, host)
	if found {
		return sorted
	}
	return slices.Insert(sorted, i, host)
}

func removeSorted(sorted []string, host string) []string {
	i, found := slices.BinarySearch(sorted, host)
	if !found {
		return sorted
	}
	return slices.Delete(sorted, i, i+1)
}
