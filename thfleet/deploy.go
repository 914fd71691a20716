package thfleet

import (
	"fmt"
	"time"
)

// Deployment describes the zones, services and tables of one of the two
// deployments in the design.
type Deployment struct {
	Name   string
	Region string
	Zones  []string
	// Services lists the services and the number of upstreams of each.
	Services   []Service
	Slots      int
	TablesFile string // path of the file with routes and pools, relative to the module root
}

// Service is one service of a Deployment, with its number of upstreams.
type Service struct {
	Name      string
	Upstreams int
}

// Ishikari and Ikaze are the deployments of the two users.
var (
	Ishikari = Deployment{
		Name: "ishikari", Region: "hokkaido", Zones: []string{"sapporo", "otaru", "ebetsu"},
		Services: []Service{{"slotboard", 3}, {"bookdesk", 3}, {"rosterbook", 3}},
		Slots:    20, TablesFile: "deploy/ishikari.ini",
	}
	Ikaze = Deployment{
		Name: "ikaze", Region: "rwanda", Zones: []string{"kg-a", "kg-b", "kg-c", "kg-d"},
		Services: []Service{{"vitrine", 4}, {"ububiko", 4}, {"inyandiko", 5}},
		Slots:    5, TablesFile: "deploy/ikaze.ini",
	}
)

// UpstreamCount returns the total number of upstreams of all services.
func (d *Deployment) UpstreamCount() int {
	n := 0
	for _, s := range d.Services {
		n += s.Upstreams
	}
	return n
}

// NewUpstreams returns upstreams of a service at one backend version, assigned to
// the zones in turn. They aren't started; see Fleet.Add.
func (d *Deployment) NewUpstreams(s Service, version string, processingTime time.Duration) []*Upstream {
	all := make([]*Upstream, 0, s.Upstreams)
	for i := range s.Upstreams {
		all = append(all, &Upstream{
			Name: fmt.Sprintf("%s-%s-%d", s.Name, version, i+1), Zone: d.Zones[i%len(d.Zones)], Region: d.Region,
			Service: s.Name, Version: version, Slots: d.Slots, ProcessingTime: processingTime,
		})
	}
	return all
}

// AddAll starts the upstreams of all services at backend version 1. It stops at
// the first error.
func (f *Fleet) AddAll(d *Deployment, processingTime time.Duration) error {
	for _, s := range d.Services {
		for _, u := range d.NewUpstreams(s, "1", processingTime) {
			if err := f.Add(u); err != nil {
				return err
			}
		}
	}
	return nil
}
