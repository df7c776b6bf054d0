// From [admission] and its groups to the settings of admission control. In builds with admission.
#pragma once

#include <memory>

#include "admission/settings.hpp"
#include "config/settings_document.hpp"
#include "config/settings_draft.hpp"

namespace sablespur {

// The last group is `others`, whether or not it has a section. What is wrong is reported to the document; the
// settings are then incomplete. Of the Config, the bounds on clients and their logins are read.
std::shared_ptr<const admission::Settings> makeAdmission(const AdmissionDraft&, const Config&,
                                                         SettingsDocument&);

}  // namespace sablespur
