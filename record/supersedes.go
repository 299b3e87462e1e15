package record

import "strconv"

// Supersedes reports whether a record's content is newer than another state of the record,
// whatever versions the platform has given to the two. A platform that is restored from an
// earlier state stores older content under a newer version. Most kinds of records do not show
// which of two states is the newer one; for these the result is false.
func Supersedes(content, other Spec) bool {
	switch content := content.(type) {
	case *Configuration:
		other, ok := other.(*Configuration)
		return ok && content.supersedes(other)
	case *ShardMap:
		other, ok := other.(*ShardMap)
		return ok && content.supersedes(other)
	default:
		return false
	}
}

// supersedes compares labels that are whole numbers.
func (c *Configuration) supersedes(other *Configuration) bool {
	number, err := strconv.ParseInt(c.Label, 10, 64)
	if err != nil {
		return false
	}
	otherNumber, err := strconv.ParseInt(other.Label, 10, 64)
	return err == nil && number > otherNumber
}

// supersedes reports whether no shard's epoch is lower and one is higher. An epoch that was
// given to an owner must not be given to another.
func (m *ShardMap) supersedes(other *ShardMap) bool {
	if len(m.Shards) != len(other.Shards) {
		return false
	}
	higher := false
	for i, s := range m.Shards {
		if s.Epoch < other.Shards[i].Epoch {
			return false
		}
		higher = higher || s.Epoch > other.Shards[i].Epoch
	}
	return higher
}
