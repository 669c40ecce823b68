"""The scheduler's settings as typed records: which values are rejected, and when."""

import pytest
from conftest import VALUES

from ochrecourse.common.errors import OchrecourseError
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.interface import MissingSettingError
from ochrecourse.scheduler.settings import Idempotency, Quota, RetryScope, SchedulerSettings


def test_settings_have_their_units_and_defaults():
    settings = SchedulerSettings(VALUES)
    keyed = settings.request_classes[1]
    assert (keyed.latency_objective, keyed.idempotency_window) == (500 * MS, 2500 * MS)
    assert (keyed.idempotency, keyed.retry_scope, keyed.in_key_order) == (
        Idempotency.WITH_KEY,
        RetryScope.SHARD,
        True,
    )
    assert settings.request_classes[2].retry_scope is RetryScope.ALL
    assert settings.safety.slow_start_time == 16 * SECOND and settings.safety.overload_factor == 1.0
    assert [settings.priority_share(quota) for quota in Quota] == [1.0, 0.3, 0.1]
    assert settings.longest_retry_after == SECOND and not settings.has_retry_budget


@pytest.mark.parametrize(
    ("name", "value", "text"),
    [
        ("Classes.count", None, "the settings lack Classes.count"),
        ("Classes.1.Effect", None, "the settings lack Classes.1.Effect"),
        ("Classes.2.Aim", "soon", "the settings hold no number under Classes.2.Aim"),
        ("Safety.Fall", "", "the settings hold no number under Safety.Fall"),
    ],
)  # fmt: skip
def test_invalid_settings_that_every_gateway_needs_are_rejected_on_construction(name, value, text):
    values = {**VALUES, name: value}
    with pytest.raises(MissingSettingError) as error:
        SchedulerSettings({name: value for name, value in values.items() if value is not None})
    assert str(error.value) == text and isinstance(error.value, OchrecourseError)


@pytest.mark.parametrize(
    ("name", "use"),
    [
        ("Policies.1.Rate", lambda settings: settings.tenant(1)),
        ("FamilyInfo.UnitsTop", lambda settings: settings.tenant(0)),
        ("FamilyInfo.FairWorth", lambda settings: settings.priority_share(Quota.USUAL)),
        ("FamilyInfo.BeyondShare", lambda settings: settings.priority_share(Quota.BEYOND)),
        ("Limits.MaxAttempts", lambda settings: settings.max_attempts),
        ("Limits.MaxRetryAfter", lambda settings: settings.longest_retry_after),
        ("Safety.ExtraRatio", lambda settings: settings.retry_budget),
    ],
)
def test_invalid_settings_that_only_some_requests_need_are_rejected_on_first_use(name, use):
    """Guards against a gateway that does not start because of an invalid value that is never used."""
    settings = SchedulerSettings({**VALUES, name: "much"})
    with pytest.raises(MissingSettingError, match=f"no number under {name}"):
        use(settings)


def test_an_unknown_value_of_a_later_version_is_accepted():
    settings = SchedulerSettings({**VALUES, "Classes.0.Effect": "new", "Classes.1.KeyScope": "new"})
    assert settings.request_classes[0].idempotency is Idempotency.UNKNOWN
    assert settings.request_classes[1].retry_scope is RetryScope.UNKNOWN
    assert settings.request_classes[1].idempotency is Idempotency.WITH_KEY
