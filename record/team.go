package record

import (
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/crypto/blake2b"
)

// Team is a group of callers that belongs to one customer.
type Team struct {
	// Office is the name of the customer that the team belongs to.
	Office string `json:"office"`
	// KeyHashes are the hashes of the team's keys in the form of TeamKeyHash.String. There
	// may be several, so that keys can be rotated.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// Priority overrides the priority of the route: 0 to 3, higher first; nil means that
	// the priority of the route applies.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond limits the team's requests over all hosts; 0 means no limit.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
	// Burst is the number of requests that may arrive at once; 0 means RatePerSecond.
	Burst float64 `json:"burst,omitempty"`
}

const (
	maxRatePerSecond = 1000000
	maxTeamKeys      = 64
	// MaxTeamKeyBytes is the longest team key, in bytes.
	MaxTeamKeyBytes = 256
)

func (t *Team) validate(f *fieldErrors) {
	if t.Office == "" {
		f.add("office", "is missing", "write the name of the office the team belongs to")
	}
	if t.Priority != nil {
		f.checkRange("priority", *t.Priority, 0, MaxPriority)
	}
	checkRate(f, "ratePerSecond", t.RatePerSecond)
	checkRate(f, "burst", t.Burst)
	if t.Burst > 0 && t.RatePerSecond == 0 {
		f.add("burst", "is set without ratePerSecond", "write ratePerSecond too, or leave burst out")
	}
	if len(t.KeyHashes) > maxTeamKeys {
		f.add("keyHashes", "has too many entries", "write at most "+strconv.Itoa(maxTeamKeys)+" and withdraw unused keys")
	}
	seen := make(map[string]bool, len(t.KeyHashes))
	for _, h := range t.KeyHashes {
		if _, err := ParseTeamKeyHash(h); err != nil {
			f.add("keyHashes", "contains an entry that is not a key hash", "write what `radishhoist teams key add` stores, never a key itself")
		}
		if seen[h] {
			f.add("keyHashes", "contains a duplicate entry", "write each hash once")
		}
		seen[h] = true
	}
}

func checkRate(f *fieldErrors, field string, got float64) {
	if !(got >= 0 && got <= maxRatePerSecond) {
		f.add(field, strconv.FormatFloat(got, 'g', -1, 64)+" is out of bounds", "write 0 to "+strconv.Itoa(maxRatePerSecond))
	}
}

// TeamKeyHash is the first half of the BLAKE2b-256 hash of a team key. A fast hash is
// sufficient because keys are generated at random: unlike passwords, they cannot be
// found by trying likely values.
type TeamKeyHash [16]byte

// hashPrefix starts the stored form of a TeamKeyHash.
const hashPrefix = "b2-"

// HashTeamKey returns the hash of a team key; bytes beyond MaxTeamKeyBytes are ignored.
func HashTeamKey(key string) TeamKeyHash {
	var buf [MaxTeamKeyBytes]byte
	n := copy(buf[:], key)
	sum := blake2b.Sum256(buf[:n])
	return TeamKeyHash(sum[:len(TeamKeyHash{})])
}

// String returns the stored form of the hash.
func (h TeamKeyHash) String() string { return hashPrefix + base64.RawURLEncoding.EncodeToString(h[:]) }

// ParseTeamKeyHash is the inverse of TeamKeyHash.String.
func ParseTeamKeyHash(s string) (TeamKeyHash, error) {
	var h TeamKeyHash
	raw, err := base64.RawURLEncoding.DecodeString(strings.TrimPrefix(s, hashPrefix))
	if err != nil || len(raw) != len(h) || !strings.HasPrefix(s, hashPrefix) {
		return h, errors.New("not a team key hash")
	}
	return TeamKeyHash(raw), nil
}

// TeamKeyProblem describes what is wrong with a team key, or returns "" if it is valid.
func TeamKeyProblem(key string) string {
	switch {
	case key == "":
		return "is empty"
	case len(key) > MaxTeamKeyBytes:
		return "is longer than " + strconv.Itoa(MaxTeamKeyBytes) + " bytes"
	case strings.ContainsAny(key, " \t\r\n,"):
		return "contains whitespace or a comma"
	}
	return ""
}
