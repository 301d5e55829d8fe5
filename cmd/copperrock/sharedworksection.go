package main

import (
	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/sharedwork"
)

// sharedWorkSection is the section "duties" of the operator's settings, on work that the controllers of a fleet share.
var sharedWorkSection = operator.Section{Name: "duties", Text: sharedwork.SectionText, Declare: declareSharedWork}

func declareSharedWork(s *operator.Settings, o *schema.Object) any {
	work := &sharedwork.Options{}
	var teams []string
	for _, b := range s.Teams.Budgets {
		teams = append(teams, b.Name)
	}
	work.Declare(o, sharedWorkClasses(s), teams)
	fleet := fleetOptions(s)
	switch {
	case work.Enabled() && !fleet.Enabled():
		o.AddError("", "there is no fleet: fleet.voters is empty")
	case work.PublishList && s.EngineFile.File == "":
		o.AddError("list", "requires engines.file, which is empty")
	case fleet.Enabled():
		fleet.Tasks, fleet.ScheduledJobs = work.Tasks(), work.JobNames()
	}
	return work
}

// sharedWorkClasses converts the workload classes to those of package sharedwork.
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

// sharedWorkOptions returns the settings of shared work, or nil if the section was not read.
func sharedWorkOptions(s *operator.Settings) *sharedwork.Options {
	options, _ := s.Sections[sharedWorkSection.Name].(*sharedwork.Options)
	return options
}
