package thconfig

import "github.com/tinylib/msgp/msgp"

// Minimum encoded sizes of a record in bytes. They follow from the field names and
// empty values that MarshalMsg always writes.
const (
	minRecordSize          = 32
	minRecordWithEntrySize = 64 // with an entry
)

// EditRecords is a list of records. Its decoder is hand-written, because generated
// code would decode one byte of an empty record into 64 bytes of memory, so that a
// single frame could allocate 64 MB.
type EditRecords []EditRecord

// MarshalMsg appends the encoded records to b.
func (r EditRecords) MarshalMsg(b []byte) ([]byte, error) {
	b = msgp.AppendArrayHeader(b, uint32(len(r)))
	var err error
	for i := range r {
		if b, err = r[i].MarshalMsg(b); err != nil {
			return b, err
		}
	}
	return b, nil
}

// UnmarshalMsg decodes records and returns the remaining bytes. Records shorter
// than those that MarshalMsg writes, or with several entries, are an error.
func (r *EditRecords) UnmarshalMsg(b []byte) ([]byte, error) {
	n, b, err := msgp.ReadArrayHeaderBytes(b)
	if err != nil {
		return b, err
	}
	if int64(n)*minRecordSize > int64(len(b)) {
		return b, msgp.ErrLimitExceeded
	}
	*r = make(EditRecords, n)
	for i := range *r {
		rest, err := (*r)[i].UnmarshalMsg(b)
		if err != nil {
			return rest, msgp.WrapError(err, i)
		}
		if size, n := len(b)-len(rest), (*r)[i].countEntries(); size < minRecordSize || n > 1 || (n == 1 && size < minRecordWithEntrySize) {
			return rest, msgp.ErrLimitExceeded
		}
		b = rest
	}
	return b, nil
}

// countEntries returns the number of entries that are set.
func (r *EditRecord) countEntries() int {
	n := 0
	for _, set := range []bool{r.Route != nil, r.Pool != nil, r.Zone != nil, r.Move != nil} {
		if set {
			n++
		}
	}
	return n
}

// Msgsize returns an upper bound of the encoded size in bytes.
func (r EditRecords) Msgsize() int {
	size := msgp.ArrayHeaderSize
	for i := range r {
		size += r[i].Msgsize()
	}
	return size
}
