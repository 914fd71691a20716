package thconfig

import "slices"

// maxExcluded limits the excluded versions of a service, of which the oldest are dropped.
const maxExcluded = 32

// ServiceVersion is a version of a service.
type ServiceVersion struct {
	Service, Version string
}

// excluded returns the versions that the pool of a service excludes, sorted: those that a
// rollout was to bring into service and has not. A version that was rolled back is bad, and
// one whose order was replaced while it ran is not known to be good. Both may still have
// backend servers, which must not count as of the old version in the next rollout.
func (d *DesiredState) excluded(service string) []string {
	var versions []string // the latest first
	add := func(v string) {
		if v != "" && !slices.Contains(versions, v) && !slices.Contains(d.Current, ServiceVersion{service, v}) {
			versions = append(versions, v)
		}
	}
	done := ""
	for _, r := range d.Rollouts {
		switch {
		case r.Service != service:
		case r.State == MoveDone:
			done = r.Target
		default:
			add(r.Target)
		}
	}
	for _, e := range slices.Backward(d.Excluded) {
		if e.Service == service && e.Version != done {
			add(e.Version)
		}
	}
	versions = versions[:min(len(versions), maxExcluded)]
	slices.Sort(versions)
	return versions
}

// current returns the version that the latest completed rollout of a service has brought
// into service, the first known one if there are several, or "".
func (d *DesiredState) current(service string) string {
	for _, r := range d.Rollouts {
		if r.Service == service && r.State == MoveDone {
			return r.Target
		}
	}
	for _, c := range d.Current {
		if c.Service == service {
			return c.Version
		}
	}
	return ""
}

// MergeExcluded returns a list of excluded versions, the latest last, with older ones that it
// lacks in front. It drops the oldest beyond maxExcluded.
func MergeExcluded(older, latest []string) []string {
	var merged []string
	for _, v := range older {
		if v != "" && !slices.Contains(latest, v) && !slices.Contains(merged, v) {
			merged = append(merged, v)
		}
	}
	merged = append(merged, latest...)
	return merged[max(0, len(merged)-maxExcluded):]
}

// InService returns the version that the latest completed rollout has brought into service,
// "" if none is known.
func (p *Pool) InService() string {
	if p.Version != "" {
		return p.Version
	}
	return p.Current
}
