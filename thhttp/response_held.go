package thhttp

// hold adds bytes to the account until the response is complete.
func (r *response) hold(n int64) {
	for {
		held := r.held.Load()
		if held < 0 {
			return
		}
		if r.held.CompareAndSwap(held, held+n) {
			r.connection.account.add(n)
			return
		}
	}
}

// release removes what the account holds for the response.
func (r *response) release() { r.connection.account.add(-max(r.held.Swap(-1), 0)) }

// holdBuffer adds the size of out to the account. Buffers up to writeBufferSize are part of
// requestCost.
func (r *response) holdBuffer() {
	if r.out == nil {
		return
	}
	if size := int64(r.out.Cap()); size > writeBufferSize && size > r.outHeld {
		r.hold(size - r.outHeld)
		r.outHeld = size
	}
}
