package rollout

// DecideWithoutLog makes a coordinator tell ranks to commit before the decision is
// on the log.
func DecideWithoutLog(c *Config) { c.disabled.commitAfterLog = true }

// AdoptUndecided makes a coordinator give the map in force to a restarted rank while a
// switch is undecided.
func AdoptUndecided(c *Config) { c.disabled.adoptAfterDecision = true }
