#ifndef AV_MODEL_EVACUATION_SPEC_HPP
#define AV_MODEL_EVACUATION_SPEC_HPP

namespace anvilturn
{

// An entry of the store that evacuates the failure domain of the same name. Its
// content has no meaning.
struct evacuation_spec
{
};

} // namespace anvilturn

#endif
