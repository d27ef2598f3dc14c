#include "cuminroad/daemon/OnceBook.h"

#include <algorithm>

namespace cuminroad {

OnceBook::OnceBook(const Clock &Clock, milliseconds Life,
                   std::size_t AnswerBytes)
    : Clock_(Clock), Life_(Life), AnswerBytes_(AnswerBytes) {}

void OnceBook::add(const std::string &Name) {
  Entry New;
  New.Until = Clock_.now() + Life_;
  Entries_.try_emplace(Name, std::move(New));
}

OnceState OnceBook::state(std::string_view Name) const {
  const auto Found = Entries_.find(Name);
  return Found == Entries_.end() ? OnceState::Absent : Found->second.State;
}

void OnceBook::start(const std::string &Name) {
  Entry &Found = Entries_[Name];
  Found.State = OnceState::InFlight;
  Found.Until = Clock_.now() + Life_;
}

void OnceBook::reopen(const std::string &Name) {
  Entry &Found = Entries_[Name];
  Found.State = OnceState::Fresh;
  Kept_ -= Found.Answer.Body.size();
  Found.Answer = {};
}

void OnceBook::wait(const std::string &Name, HttpResponder Respond) {
  Entries_[Name].Waiters.push_back(std::move(Respond));
}

std::vector<HttpResponder> OnceBook::finish(const std::string &Name,
                                            const HttpResponse &Answer) {
  Entry &Found = Entries_[Name];
  Found.State = OnceState::Done;
  Found.Until = Clock_.now() + Life_;
  Found.Answer = Answer;
  Kept_ += Answer.Body.size();
  Finished_.push_back(Name);
  std::vector<HttpResponder> Waiters;
  Waiters.swap(Found.Waiters);
  dropOldAnswers();
  return Waiters;
}

void OnceBook::dropOldAnswers() {
  std::size_t Dropped = 0;
  while (Kept_ > AnswerBytes_ && Dropped + 1 < Finished_.size()) {
    const auto Found = Entries_.find(Finished_[Dropped++]);
    if (Found == Entries_.end() || Found->second.State != OnceState::Done)
      continue;
    Kept_ -= Found->second.Answer.Body.size();
    Found->second.Answer = {};
    Found->second.State = OnceState::Spent;
  }
  Finished_.erase(Finished_.begin(),
                  Finished_.begin() + static_cast<std::ptrdiff_t>(Dropped));
}

HttpResponse OnceBook::answer(const std::string &Name) const {
  const auto Found = Entries_.find(Name);
  return Found == Entries_.end() ? HttpResponse{} : Found->second.Answer;
}

void OnceBook::expire() {
  const TimePoint Now = Clock_.now();
  std::erase_if(Entries_, [&](const auto &Item) {
    const Entry &Each = Item.second;
    if (Each.State == OnceState::InFlight || Now < Each.Until)
      return false;
    Kept_ -= Each.Answer.Body.size();
    return true;
  });
  std::erase_if(Finished_, [this](const std::string &Name) {
    return !Entries_.contains(Name);
  });
}

} // namespace cuminroad
