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
	// settleTries bounds the read-backs after a lost answer.
	settleTries = 5
	// settlePause is the pause before the first read-back; it doubles.
	settlePause = 200 * time.Millisecond
)

// ErrUnknownOutcome says a write's answer was lost and reading back failed
// too: it may or may not have taken effect.
var ErrUnknownOutcome = errors.New("the write's answer was lost and the platform cannot be read: it may have taken effect; read the record before writing again")

// PutSettled is Put with recovery of a lost answer. It reads the object back
// and takes the write for its own only where the stored value carries mine,
// which must be unique to this write (a writer's nonce). Where the old version
// still stands it writes again on the same condition: versions never repeat,
// so the two writes cannot both take effect. A create is not repeated, because
// somebody may have deleted the object in between.
func PutSettled(ctx context.Context, s Store, key record.Key, value []byte, ifVersion int64, mine func([]byte) bool) (Object, error) {
	obj, err := s.Put(ctx, key, value, ifVersion)
	pause := settlePause
	for range settleTries {
		var lost *UnavailableError
		var conflict *ConflictError
		switch {
		case errors.As(err, &conflict) && mine(conflict.Current.Value):
			return conflict.Current, nil
		case !errors.As(err, &lost):
			return obj, err
		}
		if !sleep.For(ctx, pause) {
			break
		}
		pause *= 2
		obj, err = settle(ctx, s, key, value, ifVersion)
	}
	return Object{}, ErrUnknownOutcome
}

// settle reads the object back after a lost answer and decides, or writes
// again where that is safe.
func settle(ctx context.Context, s Store, key record.Key, value []byte, ifVersion int64) (Object, error) {
	current, err := s.Get(ctx, key)
	var missing *NotFoundError
	switch {
	case errors.As(err, &missing) && ifVersion == 0:
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
