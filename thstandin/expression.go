package thstandin

import (
	"bytes"
	"math/big"
	"regexp"
	"strings"
	"time"
)

const (
	partitionKeyName = "pk"
	sortKeyName      = "sk"
	expiryName       = "expires"
)

// attribute is a value of the DynamoDB JSON API: string, number or binary.
type attribute struct {
	S *string `json:",omitempty"`
	N *string `json:",omitempty"`
	B []byte  `json:",omitempty"`
}

// item is an item of a table by attribute name.
type item map[string]attribute

func (i item) key() (itemKey, *tableError) {
	p, s := i[partitionKeyName], i[sortKeyName]
	if p.S == nil || s.S == nil || *p.S == "" || *s.S == "" {
		return itemKey{}, validationError("the key has no text attributes pk and sk")
	}
	return itemKey{*p.S, *s.S}, nil
}

// size returns the approximate size of the item in bytes.
func (i item) size() int {
	n := 0
	for name, a := range i {
		n += len(name) + len(a.B)
		if a.S != nil {
			n += len(*a.S)
		}
		if a.N != nil {
			n += len(*a.N)
		}
	}
	return n
}

// expired reports whether the item's expiry time, in Unix seconds, has passed. An item
// without an expiry time doesn't expire.
func (i item) expired(now time.Time) bool {
	a, found := i[expiryName]
	if !found || a.N == nil {
		return false
	}
	n, ok := new(big.Int).SetString(*a.N, 10)
	return ok && n.Cmp(big.NewInt(now.Unix())) <= 0
}

// compare returns the order of two values as cmp.Compare does, and false if their types
// differ or a number isn't an integer.
func compare(a, b attribute) (int, bool) {
	switch {
	case a.S != nil && b.S != nil:
		return strings.Compare(*a.S, *b.S), true
	case a.N != nil && b.N != nil:
		x, okX := new(big.Int).SetString(*a.N, 10)
		y, okY := new(big.Int).SetString(*b.N, 10)
		if !okX || !okY {
			return 0, false
		}
		return x.Cmp(y), true
	case a.B != nil && b.B != nil:
		return bytes.Compare(a.B, b.B), true
	}
	return 0, false
}

// Patterns of the supported terms of condition and key condition expressions.
var (
	existsPattern       = regexp.MustCompile(`^attribute_(not_)?exists\((\w+)\)$`)
	comparePattern      = regexp.MustCompile(`^(\w+) (=|<>|<=|>=|<|>) (:\w+)$`)
	keyConditionPattern = regexp.MustCompile(`^pk = (:\w+)(?: AND sk (?:BETWEEN (:\w+) AND (:\w+)|(>=|<) (:\w+)))?$`)
)

// evaluate reports whether item i satisfies a condition expression of terms joined by
// AND and OR, where AND binds more tightly. An empty expression is true.
func evaluate(expression string, values, i item) (bool, *tableError) {
	if expression == "" {
		return true, nil
	}
	for _, group := range strings.Split(expression, " OR ") {
		all := true
		for _, term := range strings.Split(group, " AND ") {
			ok, err := evaluateTerm(strings.TrimSpace(term), values, i)
			if err != nil {
				return false, err
			}
			all = all && ok
		}
		if all {
			return true, nil
		}
	}
	return false, nil
}

// evaluateTerm reports whether item i satisfies one term. A nil item has no attributes.
func evaluateTerm(term string, values, i item) (bool, *tableError) {
	if m := existsPattern.FindStringSubmatch(term); m != nil {
		_, found := i[m[2]]
		return found == (m[1] == ""), nil
	}
	m := comparePattern.FindStringSubmatch(term)
	if m == nil {
		return false, validationError("condition " + term + " is not implemented")
	}
	value, found := values[m[3]]
	if !found {
		return false, validationError("no value for " + m[3])
	}
	order, ok := compare(i[m[1]], value)
	if !ok {
		// Only <> is true for values of different types or a missing attribute.
		return m[2] == "<>", nil
	}
	switch m[2] {
	case "=":
		return order == 0, nil
	case "<>":
		return order != 0, nil
	case "<":
		return order < 0, nil
	case "<=":
		return order <= 0, nil
	case ">":
		return order > 0, nil
	}
	return order >= 0, nil
}

// keyCondition is a parsed key condition expression: a partition key and a range of
// sort keys.
type keyCondition struct {
	partition          string
	from               string // included; empty without a lower bound
	to                 string
	bounded, inclusive bool // to is an upper bound; to is included
}

func (c keyCondition) matches(k itemKey) bool {
	if k.partition != c.partition || k.sort < c.from {
		return false
	}
	return !c.bounded || k.sort < c.to || (c.inclusive && k.sort == c.to)
}

// parseKeyCondition returns a validation error for an unsupported expression or a
// missing value.
func parseKeyCondition(expression string, values item) (keyCondition, *tableError) {
	m := keyConditionPattern.FindStringSubmatch(expression)
	if m == nil {
		return keyCondition{}, validationError("key condition " + expression + " is not implemented")
	}
	for _, name := range []string{m[1], m[2], m[3], m[5]} {
		if name != "" && values[name].S == nil {
			return keyCondition{}, validationError("no text value for " + name)
		}
	}
	c := keyCondition{partition: *values[m[1]].S}
	switch {
	case m[2] != "":
		c.from, c.to, c.bounded, c.inclusive = *values[m[2]].S, *values[m[3]].S, true, true
	case m[4] == ">=":
		c.from = *values[m[5]].S
	case m[4] == "<":
		c.to, c.bounded = *values[m[5]].S, true
	}
	return c, nil
}
