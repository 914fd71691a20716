package thcommand

import "github.com/turmerichaven/turmerichaven/therror"

type quarantineList struct{ session *session }

// Execute prints the quarantined requests as known to the daemon at --admin.
func (c *quarantineList) Execute([]string) error {
	s := c.session
	status, err := s.fetchStatus()
	if err != nil {
		return err
	}
	return s.printResult(status.Quarantine, func() {
		rows := make([][]any, 0, len(status.Quarantine))
		for _, e := range status.Quarantine {
			rows = append(rows, []any{e.Fingerprint, e.Crashes, e.Since, e.Until})
		}
		s.printTable("REQUEST CRASHES SINCE UNTIL", rows)
	})
}

type quarantineRelease struct {
	session  *session
	Argument struct {
		Request string `positional-arg-name:"REQUEST" required:"yes" description:"Fingerprint of the request"`
	} `positional-args:"yes"`
}

// Execute ends the quarantine of a request in the whole fleet.
func (c *quarantineRelease) Execute([]string) error {
	s := c.session
	if !s.options.Admin.IsValid() {
		return therror.New(therror.Bad, "needs --admin ADDRESS of any daemon")
	}
	if err := s.adminClient().Release(s.ctx, c.Argument.Request); err != nil {
		return err
	}
	s.printf(s.Out, "request %s released\n", c.Argument.Request)
	return nil
}
