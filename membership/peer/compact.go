package peer

import "github.com/arbutuswinch/winch/httpjson"

// compressionDictionary contains the JSON names of the messages and sections, in the order in
// which they usually occur. It need not be valid JSON. Hosts with different dictionaries refuse
// each other's calls, so a change interrupts the exchange until all hosts run the same version.
// The dictionary is only changed together with a new kind of message.
const compressionDictionary = `{"Endpoints":["Running":[0,0,0,0,0,0,0,0],"Limits":[160,160,160,160,160,160,],"Waiting":[0,0,0,0,0,0],` +
	`"Lanes":{"Classes":["urgent","],"Groups":["model-],"Rows":[[0,0,0,0,0],[0,0,0,0,0]]},"Accounts":{"Organisations":["],"Tiers":[1,1,1,1],"Charged":[` +
	`"Remotes":[{"DataCentre":"","Age":,"Groups":["],"Rooms":[],"Lanes":null}]},"Ages":["Leaving":["Sets":[{"Models":["],"Adapters":[""],"Versions":[""]}],"Held":[0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0]}` +
	`"Update":{"Records":[],"Snapshot":{"Learner":true,"Settled":,"Hosts":,"Behind":[],"Agreed":{"Age":"ms","Revision":` +
	`"Roster":["View":{"Revision":,"Centres":[{"DataCentre":","Revision":,"InForce":true,"Hosts":,"Left":"s","Age":"s"}]}` +
	`"Batches":[{"Incarnation":"","Window":,"Counts":[{"Organisation":"","Requests":,"InputTokens":,"OutputTokens":}]}],"Copies":[]` +
	`,"Leaving":true},{"ID":"","DataCentre":"","PeerAddress":"127.0.0.1:"},` +
	`{"Hub":{"ID":"","DataCentre":"","PeerAddress":"10.0.0."},"Version":0,"Hosts":[{"ID":"","DataCentre":"","PeerAddress":""}],` +
	`"Sections":{"Dispatch":{"Endpoints":["Running":["Limits":["Load":{"Endpoints":["],"Ages":[` +
	`"Release":{"Hub":"","Token":,"Revision":1,"Accepted":1,"Proof":{"Age":"","Revision":1},"RosterTag":""},` +
	`"Usage":{"Hub":"","Of":"","Received":0,"Stored":0,"Sequence":0,"Copies":null,"StoredBefore":0}}}` +
	`{"From":{"ID":"","DataCentre":"","PeerAddress":"127.0.0.1:"},"Version":,"Known":,"Sections":{"Dispatch":{"Groups":[],"Rooms":[]},` +
	`"Endpoints":{"Hash":0},"Release":{"Revision":1,"Incarnation":"","RosterTag":"","Hub":"","Token":},` +
	`"Usage":{"Incarnation":"","Since":0,"Sequence":0,"Batches":null,"Copied":"","CopiedSequence":0}}}`

func newCompactor() *httpjson.Compactor { return httpjson.NewCompactor([]byte(compressionDictionary)) }
