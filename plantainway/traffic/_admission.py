"""Expected time to the first event of a request at a head.

It addresses heads that take requests beyond what they can start in time. One
estimate serves the choice of a head, the order of waiting requests and their
refusal. docs/design/placement.md explains it.
"""

import math

PASS_WAIT_PASSES = 0.5  # a request arrives in the middle of a pass on average


def expected_first_event_s(
    profile, model: str, held: int, prompt_tokens: float = 0
) -> float:
    """Returns how long the first event of a new request takes.

    The parts are the wait for a slot, the rest of the pass in progress, the
    reading of the prompts ahead and of the own one, and the steps of all
    running requests, in whole passes. How many prompts are ahead follows
    from the part of its time for which a typical request is read.

    Args:
        profile: Profile of the service's engines.
        model: Name of the model.
        held: Number of requests that the head holds.
        prompt_tokens: Prompt tokens of the request, 0 if unknown.

    Returns:
        Time in seconds.
    """
    slots = max(profile.slots, 1)
    running = min(held, slots - 1)
    step_s = _step_s(profile, running + 1)
    read_s, duration_s = _typical_times_s(profile, step_s)
    typical_tokens = profile.typical_prompt_tokens
    tokens_ahead = running * typical_tokens * read_s / duration_s
    tokens = tokens_ahead + (prompt_tokens or typical_tokens)
    steps_per_pass = max(profile.steps_per_pass, 1)
    passes = math.ceil(
        max(tokens, 1.0)
        / max(profile.prefill_chunk_tokens, 1)
        / steps_per_pass
    )
    passes_s = (passes + PASS_WAIT_PASSES) * steps_per_pass * step_s
    slot_wait_s = max(held - slots + 1, 0) * duration_s / slots
    model_profile = profile.find_model(model)
    factor = model_profile.step_time_factor if model_profile else 1.0
    return factor * (
        slot_wait_s
        + passes_s
        + tokens / max(profile.prefill_tokens_per_s, 1.0)
    )


def _step_s(profile, running: int) -> float:
    context_tokens = running * (
        profile.typical_prompt_tokens + profile.typical_answer_tokens / 2
    )
    return (
        profile.step_ms
        + running * profile.step_ms_per_sequence
        + context_tokens / 1000 * profile.step_ms_per_1k_context
    ) / 1000


def _typical_times_s(profile, step_s: float) -> tuple[float, float]:
    """Returns how long a typical request is read, and how long it runs."""
    tokens = profile.typical_prompt_tokens
    chunks = math.ceil(tokens / max(profile.prefill_chunk_tokens, 1))
    read_s = chunks * step_s + tokens / max(profile.prefill_tokens_per_s, 1.0)
    answer_s = profile.typical_answer_tokens * step_s
    # Profiles may lack figures; the requests then count as short ones.
    return read_s, max(read_s + answer_s, 0.001)
