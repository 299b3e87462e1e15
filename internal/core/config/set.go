// Package config replicates versioned entries among the hosts: the operators' records,
// the entry that each host publishes about itself, and the crashes of instances. The
// settings of a process are in package settings.
//
// New entries are pushed as rumors to a few random peers; periodic digests to a random
// peer repair losses (anti-entropy). A process applies an entry only if its version is
// greater than the one it holds, whatever its source, and deletions leave tombstones. A
// process therefore never reverts to an older version, and no peer restores a deleted
// entry. The package performs no I/O.
package config

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// BucketCount is the number of buckets into which a set is divided. A digest holds only
	// the root, the hash of the whole set. If the roots differ, the bucket hashes are
	// compared, unless the set is small (maxListedEntries). A differing bucket of the
	// largest set (106,000 entries) lists about 100 entries.
	BucketCount = 1024
	// maxTombstones bounds the number of deletions a set remembers.
	maxTombstones = 50000
)

// Key identifies an entry within a set.
type Key struct {
	Kind string
	Name string
}

// Set is a replicated set.
type Set struct {
	entries   map[Key]msg.Entry
	buckets   [BucketCount]bucket
	root      uint64
	liveCount int
	newest    int64
	// tombstones holds the deleted keys in order of arrival, to bound their number.
	tombstones []Key
	// maxDroppedVersion is the greatest version of a dropped tombstone. Entries not held
	// with this version or an older one may have been deleted and are refused.
	maxDroppedVersion int64
}

type bucket struct {
	hash uint64
	keys map[Key]struct{}
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{entries: make(map[Key]msg.Entry)} }

// Apply stores an entry if it is newer than the one held, and reports whether it did.
func (s *Set) Apply(e msg.Entry) bool {
	key := Key{e.Kind, e.Name}
	old, held := s.entries[key]
	if held && e.Version <= old.Version {
		return false
	}
	if !held && e.Version <= s.maxDroppedVersion {
		return false
	}
	s.put(key, old, held, e)
	return true
}

func (s *Set) put(key Key, old msg.Entry, held bool, e msg.Entry) {
	b := &s.buckets[bucketOf(key)]
	if b.keys == nil {
		b.keys = make(map[Key]struct{})
	}
	if held {
		s.toggle(b, old)
	}
	if held && !old.Deleted {
		s.liveCount--
	}
	s.toggle(b, e)
	b.keys[key] = struct{}{}
	s.entries[key] = e
	s.newest = max(s.newest, e.Version)
	if !e.Deleted {
		s.liveCount++
		return
	}
	s.tombstones = append(s.tombstones, key)
	for len(s.tombstones) > maxTombstones {
		s.dropTombstone(s.tombstones[0])
		s.tombstones = s.tombstones[1:]
	}
}

// dropTombstone removes an entry if it is a tombstone, and raises maxDroppedVersion to at
// least its version.
func (s *Set) dropTombstone(key Key) {
	e, ok := s.entries[key]
	if !ok || !e.Deleted {
		return
	}
	s.Remove(key)
	s.maxDroppedVersion = max(s.maxDroppedVersion, e.Version)
}

// Remove drops an entry without a tombstone. It is meant for entries that only their
// single writer can restore, with a greater version.
func (s *Set) Remove(key Key) {
	e, ok := s.entries[key]
	if !ok {
		return
	}
	b := &s.buckets[bucketOf(key)]
	s.toggle(b, e)
	delete(b.keys, key)
	delete(s.entries, key)
	if !e.Deleted {
		s.liveCount--
	}
}

// toggle adds an entry's hash to the hashes of its bucket and of the set, or removes it;
// XOR is its own inverse.
func (s *Set) toggle(b *bucket, e msg.Entry) {
	h := entryHash(e)
	b.hash ^= h
	s.root ^= h
}

// Get returns an entry; a tombstone counts as held.
func (s *Set) Get(key Key) (msg.Entry, bool) {
	e, ok := s.entries[key]
	return e, ok
}

// Root returns the hash of all keys and versions.
func (s *Set) Root() uint64 { return s.root }

// Len returns the number of entries that are not deleted.
func (s *Set) Len() int { return s.liveCount }

// Newest returns the greatest version applied.
func (s *Set) Newest() int64 { return s.newest }

// Each calls f for every entry, including tombstones, in no particular order.
func (s *Set) Each(f func(msg.Entry)) {
	for _, e := range s.entries {
		f(e)
	}
}

// Hashes returns the hashes of all buckets.
func (s *Set) Hashes() []uint64 {
	out := make([]uint64, BucketCount)
	for i := range s.buckets {
		out[i] = s.buckets[i].hash
	}
	return out
}

// DifferingBuckets returns the buckets whose hash differs from the peer's.
func (s *Set) DifferingBuckets(peer []uint64) []uint32 {
	var out []uint32
	for i := range min(len(peer), BucketCount) {
		if s.buckets[i].hash != peer[i] {
			out = append(out, uint32(i))
		}
	}
	return out
}

// Items returns the keys and versions in the given buckets.
func (s *Set) Items(buckets []uint32) []msg.VersionItem {
	var out []msg.VersionItem
	for _, b := range buckets {
		if b >= BucketCount {
			continue
		}
		for key := range s.buckets[b].keys {
			out = append(out, msg.VersionItem{Kind: key.Kind, Name: key.Name, Version: s.entries[key].Version})
		}
	}
	return out
}

// CompareAll is like Compare, for a list of all entries of the peer.
func (s *Set) CompareAll(items []msg.VersionItem) (pull []msg.VersionItem, push []msg.Entry) {
	pull, _ = s.Compare(nil, items)
	theirs := make(map[Key]int64, len(items))
	for _, it := range items {
		theirs[Key{it.Kind, it.Name}] = it.Version
	}
	for key, e := range s.entries {
		if e.Version > theirs[key] {
			push = append(push, e)
		}
	}
	return pull, push
}

// AllItems returns all keys and versions.
func (s *Set) AllItems() []msg.VersionItem {
	out := make([]msg.VersionItem, 0, len(s.entries))
	for key, e := range s.entries {
		out = append(out, msg.VersionItem{Kind: key.Kind, Name: key.Name, Version: e.Version})
	}
	return out
}

// Compare compares a peer's list for the given buckets with the set. It returns the items
// to pull, which are newer at the peer, and the entries to push, which are newer here.
func (s *Set) Compare(buckets []uint32, items []msg.VersionItem) (pull []msg.VersionItem, push []msg.Entry) {
	theirs := make(map[Key]int64, len(items))
	for _, it := range items {
		key := Key{it.Kind, it.Name}
		theirs[key] = it.Version
		e, held := s.entries[key]
		if it.Version > e.Version && (held || it.Version > s.maxDroppedVersion) {
			pull = append(pull, it)
		}
	}
	for _, b := range buckets {
		if b >= BucketCount {
			continue
		}
		for key := range s.buckets[b].keys {
			if e := s.entries[key]; e.Version > theirs[key] {
				push = append(push, e)
			}
		}
	}
	return pull, push
}

func bucketOf(k Key) uint32 {
	return uint32(xxhash.Sum64String(k.Kind+"/"+k.Name) % BucketCount)
}

func entryHash(e msg.Entry) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(e.Kind)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(e.Name)
	var tail [9]byte
	binary.BigEndian.PutUint64(tail[:], uint64(e.Version))
	if e.Deleted {
		tail[8] = 1
	}
	_, _ = d.Write(tail[:])
	return d.Sum64()
}
