package once

// ClaimOutcome is the owner's word on a keyed request.
type ClaimOutcome uint8

const (
	// ClaimRefused means the owner has no authority now; nothing has run.
	ClaimRefused ClaimOutcome = iota
	// ClaimRun lets this request run, and no other with the key.
	ClaimRun
	// ClaimBusy means a request with the key is in progress.
	ClaimBusy
	// ClaimReplay gives the finished answer again.
	ClaimReplay
	// ClaimReused means the key stands for a request with another body.
	ClaimReused
	// ClaimMayHaveRun means a request with the key may have run.
	ClaimMayHaveRun
	// ClaimRanUnkept means the request ran but its answer is not kept.
	ClaimRanUnkept
)
