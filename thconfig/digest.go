package thconfig

import (
	"bytes"
	"crypto/sha256"
	"reflect"
	"slices"

	"github.com/turmerichaven/turmerichaven/therror"
)

// DigestSize is the size of a digest (SHA-256) in bytes.
const DigestSize = sha256.Size

// Digest returns the SHA-256 of the encoded tables, including their version. The
// encoding is deterministic: slices are sorted and times are encoded in UTC.
func Digest(t Tables) []byte {
	body, err := t.MarshalMsg(nil)
	if err != nil {
		// Encoding plain structs into memory cannot fail.
		panic(err)
	}
	sum := sha256.Sum256(body)
	return sum[:]
}

// ApplyChange applies a change to the tables at its base version, validates the
// result and compares its digest with the one in the change. It returns the tables
// at the new version or an error, never a partial result.
func ApplyChange(t Tables, c Change) (Tables, error) {
	if c.Base != t.Version {
		return Tables{}, therror.New(therror.Refused, "change %d is based on version %d, not on %d", c.Version, c.Base, t.Version)
	}
	edits, err := DecodeEdits(c.Edits)
	if err != nil {
		return Tables{}, err
	}
	n, err := Apply(t, edits)
	if err != nil {
		return Tables{}, therror.Wrap(therror.Refused, err, "change %d does not apply", c.Version)
	}
	if c.Version <= t.Version {
		return Tables{}, therror.New(therror.Refused, "change %d does not follow version %d", c.Version, t.Version)
	}
	n.Version = c.Version
	if err := Validate(n); err != nil {
		return Tables{}, err
	}
	if d := Digest(n); !bytes.Equal(d, c.Digest) {
		return Tables{}, therror.New(therror.Refused, "change %d: digest of the result is %x, the change says %x", c.Version, d[:4], c.Digest)
	}
	return n, nil
}

// Diff returns the edits that turn the routes and pools of old into those of
// next, in an order that Apply accepts: sets before removals.
func Diff(old, next Tables) []Edit {
	var sets, removes []Edit
	for _, p := range next.Pools {
		if o, found := old.Pool(p.Name); !found || !reflect.DeepEqual(o, p) {
			sets = append(sets, SetPool{p})
		}
	}
	for _, r := range next.Routes {
		if o, found := old.Route(r.Name); !found || !reflect.DeepEqual(o, r) {
			sets = append(sets, SetRoute{r})
		}
	}
	for _, r := range old.Routes {
		if _, found := next.Route(r.Name); !found {
			removes = append(removes, RemoveRoute{r.Name})
		}
	}
	for _, p := range old.Pools {
		if _, found := next.Pool(p.Name); !found {
			removes = append(removes, RemovePool{p.Name})
		}
	}
	return append(sets, removes...)
}

// ChangedRoutes returns the sorted names of the routes that differ between two
// tables or exist in only one of them.
func ChangedRoutes(old, next Tables) []string {
	var names []string
	i, j := 0, 0
	for i < len(old.Routes) || j < len(next.Routes) {
		switch {
		case j == len(next.Routes) || (i < len(old.Routes) && old.Routes[i].Name < next.Routes[j].Name):
			names = append(names, old.Routes[i].Name)
			i++
		case i == len(old.Routes) || next.Routes[j].Name < old.Routes[i].Name:
			names = append(names, next.Routes[j].Name)
			j++
		default:
			if !reflect.DeepEqual(old.Routes[i], next.Routes[j]) {
				names = append(names, next.Routes[j].Name)
			}
			i++
			j++
		}
	}
	return names
}

// SelectRoutes returns the routes with the given names, and the names for which
// the tables have no route.
func SelectRoutes(t Tables, names []string) (routes []Route, missing []string) {
	for _, n := range names {
		if r, found := t.Route(n); found {
			routes = append(routes, r)
		} else {
			missing = append(missing, n)
		}
	}
	return routes, missing
}

// ReplaceRoutes returns the routes of the tables, sorted by name, after replacing
// or adding routes and removing the routes named in removed. It doesn't modify t.
func ReplaceRoutes(t Tables, routes []Route, removed []string) []Route {
	n := Tables{Routes: slices.Clone(t.Routes)}
	for _, r := range routes {
		from, to := n.findRoute(r.Name)
		n.Routes = slices.Replace(n.Routes, from, to, r)
	}
	for _, name := range removed {
		from, to := n.findRoute(name)
		n.Routes = slices.Delete(n.Routes, from, to)
	}
	return n.Routes
}
