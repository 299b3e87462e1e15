package keys

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestClaimRetryEndsBeforeCallerDeadline(t *testing.T) {
	now := time.Now()
	assert.Equal(t, claimUntil(context.Background(), now), now.Add(claimRetryTimeout))
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(400*time.Millisecond))
	defer cancel()
	assert.Equal(t, claimUntil(ctx, now), now.Add(300*time.Millisecond))
}

func TestOnlyVersion7UUIDsHaveTimestamps(t *testing.T) {
	assert.Equal(t, keyTimestamp("01890a5d-ac96-774b-bcce-b302099a8057"), int64(0x01890a5dac96))
	assert.Equal(t, keyTimestamp("550e8400-e29b-41d4-a716-446655440000"), int64(0))
	assert.Equal(t, keyTimestamp("order-17"), int64(0))
}
