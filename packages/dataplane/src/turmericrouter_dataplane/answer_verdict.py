"""Tells from a target's answer whether the request has run."""

from turmericrouter_core.verdict import Reason
from turmericrouter_core.verdict import Verdict
from turmericrouter_dataplane.header_names import HeaderNames
from turmericrouter_dataplane.http_client import HttpResponse

# Statuses from which callers conclude that a request has not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_INVALID = (Verdict.MAY_HAVE_RUN, Reason.TARGET_ANSWER_INVALID)


class AnswerVerdict:
    """Classifies the answers of targets.

    Args:
        headers: Header names of the deployment.
    """

    def __init__(self, headers: HeaderNames) -> None:
        self._signature = headers.signature.lower()
        self._not_run = headers.not_run.lower()

    def classify(self, answer: HttpResponse) -> tuple[Verdict, Reason]:
        """Return whether the request has run, and why.

        Args:
            answer: A complete answer.
        """
        headers, status = answer.headers, answer.status
        is_refusal = status == 421 or self._not_run in headers
        if not answer.is_attributed or (is_refusal and status < 400):
            # It may be a late copy of the answer to an earlier request, so
            # that the target may be running this one; or it says both that
            # the request ran and that it did not.
            return _INVALID
        if is_refusal:
            is_retired = status == 421
            return Verdict.NOT_RUN, (
                Reason.TARGET_RETIRED if is_retired else Reason.TARGET_SHED
            )
        is_signed = self._signature in headers
        if (status < 300 and not is_signed) or status in _NOT_RUN_STATUSES:
            return _INVALID
        return Verdict.RAN, Reason.SERVED
