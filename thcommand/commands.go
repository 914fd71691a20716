package thcommand

const (
	editHelp = " The edit is one transaction: it is committed as a whole or not at all, and the whole configuration is validated first." +
		" With --admin, that daemon is told to read the new version at once; with --wait, the command ends when every live daemon holds it."
	routeHelp = "A route sends the calls that match its host, path prefix and method to a pool. "
	poolHelp  = "A pool selects backend servers by service and backend version. "
	moveHelp  = "A move shifts the traffic of a route from its pool to another one in steps, by a deadline, and reverts when the new version is bad. "
	zoneHelp  = "An availability zone that is out receives no new work. "

	quarantineHelp = "A request that crashes the backend servers which run it is rejected by all daemons. "
)

// commands returns all commands with their help texts.
func commands(s *session) []command {
	return []command{
		{name: "daemon", short: "Run the daemon", long: "Runs the daemon beside a backend server until SIGTERM or SIGINT, then shuts down gracefully. All sections of the settings file are used.", options: &daemonCommand{session: s}},
		{name: "route", short: "List and edit routes", long: routeHelp, subcommands: []command{
			{name: "list", short: "List routes", long: "Lists the committed routes.", options: &routeList{session: s}},
			{name: "set", short: "Create or change a route", long: routeHelp + "Options that are left out keep their value; a new route needs --path, --pool and --repeat." + editHelp, options: &routeSet{editor: editor{session: s}}},
			{name: "remove", short: "Remove a route", long: "Removes a route. Refused while a move of it runs." + editHelp, options: &routeRemove{editor: editor{session: s}}},
		}},
		{name: "pool", short: "List and edit pools", long: poolHelp, subcommands: []command{
			{name: "list", short: "List pools", long: "Lists the committed pools.", options: &poolList{session: s}},
			{name: "set", short: "Create or change a pool", long: poolHelp + "Options that are left out keep their value; a new pool needs --service and --version." + editHelp, options: &poolSet{editor: editor{session: s}}},
			{name: "remove", short: "Remove a pool", long: "Removes a pool. Refused while a route or a running move uses it." + editHelp, options: &poolRemove{editor: editor{session: s}}},
		}},
		{name: "apply", short: "Apply a table file", long: "Makes the committed routes and pools those of the table file, removals included. `diff` shows the edits first." + editHelp, options: &applyCommand{editor: editor{session: s}}},
		{name: "diff", short: "Compare a table file", long: "Lists the edits that `apply` would commit and changes nothing.", options: &diffCommand{session: s}},
		{name: "check", short: "Check a configuration before it is sent", long: "Checks a configuration of a platform of kind rows and changes nothing: errors, entries that no request can match, limits that contradict each other, and what differs from the version in the store of the settings (--settings), or in the file of --against. Shows no keys.", options: &checkCommand{session: s}},
		{name: "move", short: "Move traffic between pools", long: moveHelp, subcommands: []command{
			{name: "start", short: "Start a move", long: moveHelp + "--deadline is a duration from now (30m) or a time in RFC 3339 (2026-01-02T15:04:05Z)." + editHelp, options: &moveStart{editor: editor{session: s}}},
			{name: "status", short: "Show moves", long: "Shows the moves: from the store, or with share, step and reason from the daemon at --admin.", options: &moveStatus{session: s}},
			{name: "cancel", short: "Cancel a move", long: "Cancels the running move of a route: its traffic goes back to the old pool." + editHelp, options: &moveCancel{editor: editor{session: s}}},
		}},
		{name: "zone", short: "Take availability zones out and in", long: zoneHelp, subcommands: []command{
			{name: "out", short: "Take a zone out of service", long: zoneHelp + "With --admin, a zone that is unknown, or whose absence would leave a pool without servers, needs --force." + editHelp, options: &zoneOut{editor: editor{session: s}}},
			{name: "in", short: "Return a zone to service", long: "Returns a zone to service; its traffic ramps up over 10 s." + editHelp, options: &zoneIn{editor: editor{session: s}}},
			{name: "list", short: "List zones", long: "Lists the zones that were ever taken out and, with --admin, all zones of live daemons.", options: &zoneList{session: s}},
		}},
		{name: "quarantine", short: "Show and release requests that crash backend servers", long: quarantineHelp, subcommands: []command{
			{name: "list", short: "List quarantined requests", long: quarantineHelp + "Lists the requests that the daemon at --admin rejects. The log line 'request quarantined' has method, host, path and caller of each.", options: &quarantineList{session: s}},
			{name: "release", short: "End the quarantine of a request", long: quarantineHelp + "Ends the quarantine in the whole fleet, as after a repair of the backend servers. Two more crashes quarantine the request again.", options: &quarantineRelease{session: s}},
		}},
		{name: "status", short: "Show the live state of the fleet", long: "Shows the state of the fleet as seen by the daemon at --admin: versions, lagging daemons, backend servers, zones, moves and the platform. Exit code 8 when a version alarm is on.", options: &statusCommand{session: s}},
		{name: "recover", short: "Commit above the fleet's version", long: "After a restore of the table from a backup, the store's version is at or below the fleet's and daemons refuse it (alarm older or diverged). This commits the store's present tables above the fleet's version, read from --admin, or above --above. Check the tables first: changes lost by the restore stay lost." + editHelp, options: &recoverCommand{editor: editor{session: s}}},
		{name: "settings", short: "Check and describe settings", long: "Works on settings files; needs no platform.", subcommands: []command{
			{name: "check", short: "Check a settings file", long: "Checks a settings file for a daemon and lists every fault with file, line and key.", options: &settingsCheck{session: s}},
			{name: "sample", short: "Print a sample settings file", long: "Prints a commented settings file.", options: &settingsSample{session: s}},
			{name: "markdown", short: "Print the reference of all settings", long: "Prints docs/settings.md.", options: &settingsMarkdown{session: s}},
		}},
		{name: "version", short: "Print the version", long: "Prints the version of this program and of Go.", options: &versionCommand{session: s}},
	}
}
