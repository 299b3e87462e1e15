package objects

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/record"
)

func bytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

const (
	// maxReadBacks limits the number of read-backs after a lost response.
	maxReadBacks = 5
	// readBackPause is the pause before the first read-back; it doubles each time.
	readBackPause = 200 * time.Millisecond
)

// ErrUnknownOutcome is returned if the response to a write was lost and reading the
// object back did not show whether the write took effect.
var ErrUnknownOutcome = errors.New("write outcome unknown: the response was lost and the record could not be verified; read the record before writing again")

// PutConfirmed is Put with recovery from a lost response. After a lost response, it reads
// the object back. It treats a newer version as its own write only if isOwn accepts the
// stored value. isOwn may accept any value that makes the write unnecessary: that of this
// write, recognized for example by a nonce, or that of an equivalent earlier one. If the
// old version is still stored, PutConfirmed repeats the write with the same condition.
// Versions are never reused, so at most one of the writes takes effect. A create is not
// repeated, because the object may have been created and deleted in the meantime.
// PutConfirmed then returns ErrUnknownOutcome, as it does if the outcome is still unknown
// after maxReadBacks read-backs or if the context ends first.
func PutConfirmed(ctx context.Context, s Store, key record.Key, value []byte, ifVersion int64, isOwn func([]byte) bool) (Object, error) {
	obj, err := s.Put(ctx, key, value, ifVersion)
	pause := readBackPause
	for range maxReadBacks {
		var lost *UnavailableError
		var conflict *ConflictError
		switch {
		case errors.As(err, &conflict) && isOwn(conflict.Current.Value):
			return conflict.Current, nil
		case !errors.As(err, &lost):
			return obj, err
		}
		if !sleep.For(ctx, pause) {
			break
		}
		pause *= 2
		obj, err = readBack(ctx, s, key, value, ifVersion)
	}
	return Object{}, ErrUnknownOutcome
}

// readBack reads the object after a lost response. If the old version is still stored, it
// repeats the write; otherwise it returns the stored object as a conflict.
func readBack(ctx context.Context, s Store, key record.Key, value []byte, ifVersion int64) (Object, error) {
	current, err := s.Get(ctx, key)
	var missing *NotFoundError
	switch {
	case errors.As(err, &missing) && ifVersion == 0:
		// The object may have been created and deleted.
		return Object{}, ErrUnknownOutcome
	case errors.As(err, &missing):
		return Object{}, &ConflictError{Current: Object{Kind: key.Kind, Name: key.Name}, IfVersion: ifVersion}
	case err != nil:
		return Object{}, err
	case current.Version == ifVersion:
		return s.Put(ctx, key, value, ifVersion)
	default:
		return Object{}, &ConflictError{Current: current, IfVersion: ifVersion}
	}
}
