package check

// The codes of findings in one configuration.
const (
	NameMissing   Code = "name_missing"
	NameDuplicate Code = "name_duplicate"

	RevisionInvalid Code = "version_invalid"
	RoutesMissing   Code = "routes_missing"

	ServiceMissing      Code = "route_service_missing"
	ServiceUnknown      Code = "route_service_unknown"
	ServiceAndSplit     Code = "route_service_and_split"
	WeightNegative      Code = "split_weight_negative"
	WeightsZero         Code = "split_weights_zero"
	SplitDuplicate      Code = "split_service_duplicate"
	KindUnknown         Code = "route_type_unknown"
	RouteDuplicate      Code = "route_duplicate"
	RouteHidden         Code = "route_hidden"
	PrefixInvalid       Code = "prefix_invalid"
	PrefixUnreachable   Code = "prefix_unreachable"
	HostMissing         Code = "host_missing"
	HostInvalid         Code = "host_invalid"
	HostUpperCase       Code = "host_upper_case"
	TimeoutMissing      Code = "timeout_missing"
	TimeoutNegative     Code = "timeout_negative"
	TimeoutBelowTarget  Code = "timeout_below_target"
	TargetMissing       Code = "target_missing"
	TargetNegative      Code = "target_negative"
	GapAboveTimeout     Code = "gap_target_above_timeout"
	GapWithoutStream    Code = "gap_target_without_stream"
	AttemptsNegative    Code = "attempts_negative"
	AttemptsUseless     Code = "attempts_useless"
	ResumeWithoutStream Code = "resume_without_stream"
	PriorityNegative    Code = "priority_negative"
	OpenWithoutEffect   Code = "open_without_effect"

	ServiceUnused      Code = "service_unused"
	ScalingNegative    Code = "scaling_negative"
	ScalingMinAboveMax Code = "scaling_min_above_max"
	ScalingCannotServe Code = "scaling_cannot_serve"
	ScalingNoCentre    Code = "scaling_no_data_centre"
	CapacityInvalid    Code = "engine_capacity_invalid"
	SlotsInvalid       Code = "engine_slots_invalid"
	ColdNegative       Code = "cold_start_negative"
	ColdRateAlone      Code = "cold_rate_without_duration"
	ColdDurationAlone  Code = "cold_duration_without_rate"

	OrganisationsAbsent Code = "organisations_absent"
	OrganisationsEmpty  Code = "organisations_empty"
	OrganisationNoKeys  Code = "organisation_without_keys"
	KeyInTwo            Code = "key_in_two_organisations"
	KeyTwice            Code = "key_twice"
	KeyInvalid          Code = "key_invalid"

	LimitMissing         Code = "limit_missing"
	LimitInvalid         Code = "limit_invalid"
	LimitAboveMemory     Code = "limit_above_memory"
	LimitNearMemory      Code = "limit_near_memory"
	LimitTimesContradict Code = "limit_times_contradict"
)

// The codes of findings that compare a configuration with the one in force.
const (
	RevisionNotAbove    Code = "version_not_above"
	RouteRemoved        Code = "route_removed"
	OrganisationRemoved Code = "organisation_removed"
	LastKeyRemoved      Code = "organisation_last_key_removed"
	KeyMoved            Code = "key_moved"
	KeysBecomeOptional  Code = "keys_become_optional"
	KeysBecomeRequired  Code = "keys_become_required"
)

// The codes of findings in the form of a file. They are found where the file is decoded.
const (
	SyntaxInvalid  Code = "syntax_invalid"
	TypeInvalid    Code = "type_invalid"
	FieldDuplicate Code = "field_duplicate"
	FieldUnknown   Code = "field_unknown"
	FieldCase      Code = "field_case"
	NotUsable      Code = "not_usable"
	// InForceInvalid concerns the file of the configuration in force.
	InForceInvalid Code = "in_force_invalid"
)
