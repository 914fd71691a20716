package thconfig

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lintConfig returns a configuration without anything to warn of.
func lintConfig(t *testing.T) Config {
	c := accountConfig(newAccount(t, "acme", "k1"))
	c.Routes[0].Target = 500 * time.Millisecond
	c.Services = []Service{{Name: "page", Cold: time.Second, Rate: 5}}
	c.Limits = Limits{Header: 16384, Body: 1 << 26, Wait: 3 * time.Second, Idle: 15 * time.Second}
	return c
}

// Guards against mistakes in a valid configuration that an operator learns of only from callers,
// and against warnings about a configuration without any.
func TestLintFindsProbableMistakes(t *testing.T) {
	valid := lintConfig(t)
	assert.NilError(t, valid.Validate())
	assert.Equal(t, len(valid.Lint()), 0, "%v", valid.Lint())
	for want, change := range map[string]func(*Config){
		`route "r": prefix "/a?b/" can't match`:                                func(c *Config) { c.Routes[0].Path = "/a?b/" },
		`route "r": prefix "/a b/" can't match: requests have it as "/a%20b/"`: func(c *Config) { c.Routes[0].Path = "/a b/" },
		`route "r": host "h/x" can't match`:                                    func(c *Config) { c.Routes[0].Host = "h/x" },
		`route "r": latency objective 1s is not below the timeout 1s`:          func(c *Config) { c.Routes[0].Target = time.Second },
		`route "r": service "b" has weight 0`:                                  func(c *Config) { c.Routes[0].Split = []WeightedPool{{"page", 1}, {"b", 0}} },
		`route "r": service "page" is listed twice`:                            func(c *Config) { c.Routes[0].Split = []WeightedPool{{"page", 1}, {"page", 2}} },
		`service "idle": no route sends requests to it`:                        func(c *Config) { c.Services = append(c.Services, Service{Name: "idle"}) },
		`service "page": cold rate 5 a second without a cold start time`:       func(c *Config) { c.Services[0].Cold = 0 },
		`service "page": cold start time 1s without a cold rate`:               func(c *Config) { c.Services[0].Rate = 0 },
		`account "none": it has no key`:                                        func(c *Config) { c.Accounts = append(c.Accounts, Account{Name: "none"}) },
		`1 routes are anonymous, but no request needs a key`:                   func(c *Config) { c.Keyed, c.Accounts, c.Routes[0].Anonymous = false, nil, true },
		`no account exists, so 1 routes reject every request`:                  func(c *Config) { c.Accounts = nil },
		`limits: a header limit of 100 bytes`:                                  func(c *Config) { c.Limits.Header = 100 },
		`limits: the time for a header, 20s, is above the idle time, 15s`:      func(c *Config) { c.Limits.Wait = 20 * time.Second },
	} {
		c := lintConfig(t)
		change(&c)
		warnings := strings.Join(c.Lint(), "\n")
		assert.Assert(t, strings.Contains(warnings, want), "%q: got %q", want, warnings)
	}
}

// Guards against changes that the comparison doesn't show, and against keys in it.
func TestCompareConfigsShowsEachChange(t *testing.T) {
	old, next := lintConfig(t), lintConfig(t)
	assert.Equal(t, len(CompareConfigs(&old, &next)), 0)
	next.Routes[0].Timeout, next.Routes[0].Split = 2*time.Second, []WeightedPool{{"page", 9}, {"new", 1}}
	next.Services = []Service{{Name: "page", Cold: time.Second, Rate: 6}, {Name: "new"}}
	next.Limits.Header = 8192
	next.Accounts = []Account{newAccount(t, "acme", "k2", "k3"), newAccount(t, "other", "secret")}
	old.Services = append(old.Services, Service{Name: "gone"})
	old.Accounts = append(old.Accounts, newAccount(t, "left", "k9"))
	assert.DeepEqual(t, CompareConfigs(&old, &next), []string{
		`route "r": services page:1 -> page:9,new:1, timeout 1s -> 2s`,
		`service "page": rate 5 -> 6`,
		`service "new": added`,
		`limits: header 16384 -> 8192`,
		`service "gone": removed`,
		`account "acme": 2 keys added, 1 removed, priority 0 -> 0`,
		`account "other": added with 1 keys, priority 0`,
		`account "left": removed`,
	})
}
