package main

import (
	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/sharedwork"
)

// sharedWorkSection is the section of the operator's settings on what the fleet does as one.
var sharedWorkSection = operator.Section{Name: "duties", Text: sharedwork.SectionText, Declare: declareSharedWork}

func declareSharedWork(s *operator.Settings, o *schema.Object) any {
	work := &sharedwork.Options{}
	var teams []string
	for _, b := range s.Teams.Budgets {
		teams = append(teams, b.Name)
	}
	work.Declare(o, sharedWorkClasses(s), teams)
	members := fleetOptions(s)
	switch {
	case work.Enabled() && !members.Enabled():
		o.AddError("", "there is no fleet: fleet.voters names none")
	case work.PublishList && s.EngineFile.File == "":
		o.AddError("list", "engines.file names no list")
	case members.Enabled():
		members.Tasks, members.ScheduledJobs = work.Tasks(), work.JobNames()
	}
	return work
}

// sharedWorkClasses are the workload classes as scheduled jobs need to know them.
func sharedWorkClasses(s *operator.Settings) []sharedwork.Class {
	var classes []sharedwork.Class
	for i, name := range s.Settings.Classes {
		classes = append(classes, sharedwork.Class{
			Name:       name,
			Idempotent: s.Settings.Admission.Classes[i].Idempotency == admission.Idempotent,
			Timeout:    s.Settings.ClassTimeouts[i],
		})
	}
	return classes
}

// sharedWorkOptions is what the settings say of shared work, nil where they have not been read.
func sharedWorkOptions(s *operator.Settings) *sharedwork.Options {
	options, _ := s.Sections[sharedWorkSection.Name].(*sharedwork.Options)
	return options
}
