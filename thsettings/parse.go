package thsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

func parseName(v string) (string, error) {
	if !namePattern.MatchString(v) {
		return "", fmt.Errorf("%q is not a name: 1 to 63 of a-z, 0-9 and hyphen, not beginning with a hyphen", v)
	}
	return v, nil
}

func parseLabel(v string) (string, error) {
	if !labelPattern.MatchString(v) {
		return "", fmt.Errorf("%q is not 1 to 63 of letters, digits, dot, underscore and hyphen", v)
	}
	return v, nil
}

// parseText omits the value from its error, because it may be a secret.
func parseText(v string) (string, error) {
	if v == "" || len(v) > 1024 {
		return "", fmt.Errorf("is not 1 to 1024 bytes long")
	}
	return v, nil
}

func parseURL(v string) (string, error) {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" {
		return "", fmt.Errorf("%q is not a URL of the form http://host:port", v)
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return "", fmt.Errorf("a URL with user, query or fragment is not allowed")
	}
	if p := u.Port(); p != "" {
		if n, err := strconv.Atoi(p); err != nil || n < 1 || n > 65535 {
			return "", fmt.Errorf("%q: the port is not between 1 and 65535", v)
		}
	}
	return v, nil
}

func parseChoice(v, values string) (string, error) {
	if !slices.Contains(strings.Split(values, ","), v) {
		return "", fmt.Errorf("%q is not one of %s", v, strings.ReplaceAll(values, ",", ", "))
	}
	return v, nil
}

// parseAddress rejects port 0 and unspecified addresses, because other daemons
// connect to the address in the settings.
func parseAddress(v string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	switch {
	case err != nil:
		return netip.AddrPort{}, fmt.Errorf("%q is not an IP number and a port", v)
	case a.Port() == 0:
		return netip.AddrPort{}, fmt.Errorf("%q: the port is not between 1 and 65535", v)
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		return netip.AddrPort{}, fmt.Errorf("%q: the address of one interface is needed", v)
	}
	return a, nil
}

func parseAddresses(v string, maxCount int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for part := range strings.SplitSeq(v, ",") {
		a, err := parseAddress(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		if slices.Contains(list, a) {
			return nil, fmt.Errorf("%s is listed twice", a)
		}
		list = append(list, a)
	}
	if len(list) > maxCount {
		return nil, fmt.Errorf("%d addresses, at most %d are allowed", len(list), maxCount)
	}
	return list, nil
}

func parseDuration(v string, minValue, maxValue time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(v)
	if _, floatErr := strconv.ParseFloat(v, 64); err != nil || floatErr == nil { // ParseDuration accepts 0 without unit
		return 0, fmt.Errorf("%q is not a duration with a unit, such as 250ms, 2s or 1m", v)
	}
	if d < minValue || d > maxValue {
		return 0, fmt.Errorf("%s is not between %s and %s", d, minValue, maxValue)
	}
	return d, nil
}

func parseCount(v string, minValue, maxValue int) (int, error) {
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number without unit", v)
	}
	if n < minValue || n > maxValue {
		return 0, fmt.Errorf("%d is not between %d and %d", n, minValue, maxValue)
	}
	return n, nil
}

// parseRatio parses a decimal number.
func parseRatio(v string, minValue, maxValue float64) (float64, error) {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a number", v)
	}
	if !(n >= minValue && n <= maxValue) { // false for NaN
		return 0, fmt.Errorf("%v is not between %v and %v", n, minValue, maxValue)
	}
	return n, nil
}

func parseBytes(v, minSize, maxSize string) (int, error) {
	n, err := parseSize(v)
	if err != nil {
		return 0, err
	}
	minBytes, _ := parseSize(minSize)
	maxBytes, _ := parseSize(maxSize)
	if n < minBytes || n > maxBytes {
		return 0, fmt.Errorf("%s is not between %s and %s", v, minSize, maxSize)
	}
	return n, nil
}

// parseSize parses a size such as 64KiB and returns it in bytes.
func parseSize(v string) (int, error) {
	for _, u := range []struct {
		suffix string
		bytes  int
	}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}} {
		if digits, found := strings.CutSuffix(v, u.suffix); found {
			n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 31)
			if err != nil {
				break
			}
			return int(n) * u.bytes, nil
		}
	}
	return 0, fmt.Errorf("%q is not a size with a unit: B, KiB or MiB", v)
}
