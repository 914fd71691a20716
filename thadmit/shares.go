package thadmit

import "time"

// maxIdleShares is the number of accounts whose last call is remembered although it is behind
// the virtual time, so that accounts that come and go don't fill the memory.
const maxIdleShares = 1024

// fairShares orders the queued calls of client accounts by start-time fair queueing: a call
// starts, in virtual time, when the account's call before it has finished, so the calls of an
// account that sends more than the others move behind theirs. Calls without an account share
// one queue. The zero value is ready to use, and treats all calls alike until a call with an
// account comes.
type fairShares struct {
	virtual time.Duration            // start of the call that was dispatched last
	finish  map[string]time.Duration // by account: virtual time at which its last call finishes
}

// start returns the virtual start of the next call of an account. It is zero for all calls as
// long as no call has had an account.
func (f *fairShares) start(account string) time.Duration {
	if account == "" && f.finish == nil {
		return 0
	}
	return max(f.virtual, f.finish[account])
}

// charge adds a call that was queued or dispatched to the use of its account. cost is its
// expected service time.
func (f *fairShares) charge(account string, start, cost time.Duration) {
	if account == "" && f.finish == nil {
		return
	}
	if f.finish == nil {
		f.finish = map[string]time.Duration{}
	}
	f.finish[account] = start + cost
	if len(f.finish) > maxIdleShares {
		f.removeIdle()
	}
}

// refund takes back the charge of a call that was not dispatched.
func (f *fairShares) refund(account string, cost time.Duration) {
	if finish, found := f.finish[account]; found {
		f.finish[account] = finish - cost
	}
}

// dispatched advances the virtual time to the start of a dispatched call.
func (f *fairShares) dispatched(start time.Duration) { f.virtual = max(f.virtual, start) }

// removeIdle removes the accounts whose next call starts at the virtual time anyway.
func (f *fairShares) removeIdle() {
	for account, finish := range f.finish {
		if finish <= f.virtual {
			delete(f.finish, account)
		}
	}
}
